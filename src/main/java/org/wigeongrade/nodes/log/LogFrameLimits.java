package org.wigeongrade.nodes.log;

import org.apache.thrift.TConfiguration;

/** Size limits of the Thrift frames that control VMs send each other for the log. Stateless. */
final class LogFrameLimits {
    private static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

    static final TConfiguration CONFIGURATION =
            new TConfiguration(MAX_FRAME_BYTES, MAX_FRAME_BYTES, TConfiguration.DEFAULT_RECURSION_DEPTH);

    private LogFrameLimits() {}
}
