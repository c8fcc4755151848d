package org.wigeongrade.nodes;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Supplier;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.nodes.control.ControlRole;
import org.wigeongrade.nodes.control.StatusReport;
import org.wigeongrade.nodes.entry.EntryRole;
import org.wigeongrade.nodes.thrift.NodeFailure;
import org.wigeongrade.nodes.thrift.NodeService;
import org.wigeongrade.nodes.thrift.PullReply;
import org.wigeongrade.nodes.thrift.PullRequest;

/** Handles the calls of other processes of the fleet. Thread safe: holds no state of its own. */
public final class NodeServiceHandler implements NodeService.Iface {
    private final EntryRole entry;
    private final Optional<ControlRole> control;
    private final LocalExplanations explanations;

    public NodeServiceHandler(EntryRole entry, Optional<ControlRole> control) {
        this.entry = entry;
        this.control = control;
        this.explanations = new LocalExplanations(entry, control);
    }

    @Override
    public PullReply pull(PullRequest request) throws NodeFailure {
        return runConvertingFailures(() -> controlRole().pull(request));
    }

    @Override
    public ByteBuffer submit(ByteBuffer command) throws NodeFailure {
        final byte[] bytes = new byte[command.remaining()];
        command.get(bytes);
        return runConvertingFailures(() -> ByteBuffer.wrap(controlRole().submit(bytes)));
    }

    @Override
    public ByteBuffer explain(String kind, String id) throws NodeFailure {
        return runConvertingFailures(() -> ByteBuffer.wrap(explanations.explain(kind, id)));
    }

    @Override
    public ByteBuffer status() throws NodeFailure {
        return runConvertingFailures(() -> ByteBuffer.wrap(StatusReport.toJson(controlRole())));
    }

    @Override
    public void coldSign(String endpoint, String fromNode) {
        entry.coldSign(new EndpointId(endpoint));
    }

    private ControlRole controlRole() {
        return control.orElseThrow(() -> new WigeongradeException(
                ErrorKind.CONTROL_UNAVAILABLE, "node '" + entry.self() + "' does not run the control role"));
    }

    private static <T> T runConvertingFailures(Supplier<T> call) throws NodeFailure {
        try {
            return call.get();
        } catch (WigeongradeException failure) {
            throw new NodeFailure(failure.kind().name(), failure.getMessage(), failure.retryAfterMs());
        } catch (RuntimeException failure) {
            throw new NodeFailure(ErrorKind.INTERNAL.name(), failure.toString(), 0);
        }
    }
}
