package org.wigeongrade.nodes;

import org.wigeongrade.decisions.limits.ShareGrant;
import org.wigeongrade.decisions.limits.ShareKey;
import org.wigeongrade.decisions.limits.ShareKind;
import org.wigeongrade.decisions.limits.ShareReport;
import org.wigeongrade.nodes.thrift.ShareGrantRecord;
import org.wigeongrade.nodes.thrift.ShareReportRecord;

/** Converts share reports and grants to and from their Thrift form. Stateless; safe for use from any thread. */
public final class ShareRecords {
    private ShareRecords() {}

    public static ShareReportRecord toThrift(ShareReport report) {
        return new ShareReportRecord(
                report.key().kind().name(),
                report.key().name(),
                report.sequence(),
                report.granted(),
                report.coldSlots(),
                report.inUse(),
                report.wanted(),
                report.epoch(),
                report.warmCompletions(),
                report.coldSignEpoch());
    }

    public static ShareReport fromThrift(ShareReportRecord record) {
        return new ShareReport(
                new ShareKey(ShareKind.valueOf(record.getKind()), record.getName()),
                record.getSequence(),
                record.getGranted(),
                record.getColdSlots(),
                record.getInUse(),
                record.getWanted(),
                record.getEpoch(),
                record.getWarmCompletions(),
                record.getColdSignEpoch());
    }

    public static ShareGrantRecord toThrift(ShareGrant grant) {
        return new ShareGrantRecord(
                grant.key().kind().name(),
                grant.key().name(),
                grant.reportSequence(),
                grant.slots(),
                grant.coldSlots(),
                grant.epoch(),
                grant.leaseNanos());
    }

    public static ShareGrant fromThrift(ShareGrantRecord record) {
        return new ShareGrant(
                new ShareKey(ShareKind.valueOf(record.getKind()), record.getName()),
                record.getReportSequence(),
                record.getSlots(),
                record.getColdSlots(),
                record.getEpoch(),
                record.getLeaseNanos());
    }
}
