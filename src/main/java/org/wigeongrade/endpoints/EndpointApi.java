package org.wigeongrade.endpoints;

import org.wigeongrade.errors.ErrorJson;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.nodes.entry.EntryRole;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** The HTTP API that receives the announcements of endpoint VMs. Thread safe: holds no state of its own. */
public final class EndpointApi implements Action<Chain> {
    private static final int MAX_ANNOUNCEMENT_BYTES = 256 * 1024;

    private final EntryRole entry;

    public EndpointApi(EntryRole entry) {
        this.entry = entry;
    }

    @Override
    public void execute(Chain chain) {
        chain.post("v1/announcements", this::receive);
    }

    private void receive(Context context) {
        if (entry.isStopping()) {
            refuse(context, new WigeongradeException(ErrorKind.STOPPING, "this entry VM is stopping"));
            return;
        }
        context.getRequest()
                .getBody(
                        MAX_ANNOUNCEMENT_BYTES,
                        () -> refuse(
                                context,
                                new WigeongradeException(
                                        ErrorKind.BODY_TOO_LARGE,
                                        "the announcement exceeds " + MAX_ANNOUNCEMENT_BYTES + " bytes")))
                .then(body -> accept(context, body.getBytes()));
    }

    private void accept(Context context, byte[] body) {
        try {
            entry.inbox().add(AnnouncementReader.read(body), entry.nowNanos());
            context.getResponse().send("application/json", "{\"accepted\":true}");
        } catch (WigeongradeException failure) {
            refuse(context, failure);
        }
    }

    private static void refuse(Context context, WigeongradeException failure) {
        context.getResponse().status(failure.kind().httpStatus());
        context.getResponse().send("application/json", ErrorJson.render(failure, ""));
    }
}
