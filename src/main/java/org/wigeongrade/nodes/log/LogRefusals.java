package org.wigeongrade.nodes.log;

import java.util.Optional;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.NodeName;

/** Why a command was not appended, in words that tell the reader the fix. Stateless. */
final class LogRefusals {
    private LogRefusals() {}

    static WigeongradeException notLeading(NodeName self, Optional<NodeName> leader) {
        String hint = leader.filter(name -> !name.equals(self))
                .map(name -> "the leader is " + name)
                .orElse("no leader is known");
        return new WigeongradeException(ErrorKind.CONTROL_UNAVAILABLE, "node " + self + " does not lead; " + hint);
    }

    static WigeongradeException backedUp(int commands) {
        return new WigeongradeException(
                ErrorKind.CONTROL_UNAVAILABLE,
                commands + " commands wait for a quorum of control VMs; come back later");
    }

    static WigeongradeException tooLarge(int sizeBytes, int maxBytes) {
        return new WigeongradeException(
                ErrorKind.BODY_TOO_LARGE, "command has " + sizeBytes + " bytes; at most " + maxBytes + " fit an entry");
    }
}
