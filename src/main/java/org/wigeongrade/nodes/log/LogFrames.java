package org.wigeongrade.nodes.log;

import org.apache.thrift.TConfiguration;

/** Size limits of the frames between control VMs. Stateless. */
final class LogFrames {
    private static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

    static final TConfiguration CONFIGURATION =
            new TConfiguration(MAX_FRAME_BYTES, MAX_FRAME_BYTES, TConfiguration.DEFAULT_RECURSION_DEPTH);

    private LogFrames() {}
}
