package org.wigeongrade.nodes.log;

import java.util.Optional;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.NodeName;

/** Creates the exceptions for commands that are not appended; each message states the remedy. Stateless. */
final class LogRefusals {
    private LogRefusals() {}

    static WigeongradeException notLeader(NodeName self, Optional<NodeName> leader) {
        String hint = leader.filter(name -> !name.equals(self))
                .map(name -> "the leader is " + name)
                .orElse("no leader is known");
        return new WigeongradeException(ErrorKind.CONTROL_UNAVAILABLE, "node " + self + " is not the leader; " + hint);
    }

    static WigeongradeException tooManyUncommitted(int uncommitted) {
        return new WigeongradeException(
                ErrorKind.CONTROL_UNAVAILABLE, uncommitted + " commands wait for a quorum of control VMs; retry later");
    }

    static WigeongradeException tooLarge(int sizeBytes, int maxBytes) {
        return new WigeongradeException(
                ErrorKind.BODY_TOO_LARGE,
                "command has " + sizeBytes + " bytes; at most " + maxBytes + " fit into an entry");
    }
}
