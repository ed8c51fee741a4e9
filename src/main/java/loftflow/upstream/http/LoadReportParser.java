package loftflow.upstream.http;

import loftflow.log.Log;
import loftflow.policy.api.LimitReport;
import loftflow.protocol.HostProtocol;

/** Parses the load reports of hosts. */
final class LoadReportParser {
    private LoadReportParser() {}

    /**
     * Parses a report such as {@code TEXT x0=0.4, x1=25}; malformed fields are treated as absent.
     *
     * @param text the report; may be null
     * @return {@link LimitReport#NONE} if the text is null
     */
    static LimitReport parse(String text) {
        if (text == null) {
            return LimitReport.NONE;
        }
        double remainingShare = Double.NaN;
        double limitPerSecond = Double.NaN;
        String fields = text.strip().replaceFirst(HostProtocol.LOAD_REPORT_PREFIX_PATTERN, "");
        for (String field : fields.split(",")) {
            String[] nameAndValue = field.strip().split("=", 2);
            double value = nameAndValue.length < 2 ? Double.NaN : parseNumber(nameAndValue[1]);
            if (nameAndValue[0].equals(HostProtocol.REMAINING_SHARE_FIELD)) {
                remainingShare = value;
            } else if (nameAndValue[0].equals(HostProtocol.LIMIT_PER_SECOND_FIELD)) {
                limitPerSecond = value;
            }
        }
        return new LimitReport(remainingShare, limitPerSecond);
    }

    private static double parseNumber(String text) {
        try {
            double value = Double.parseDouble(text.strip());
            return Double.isFinite(value) && value >= 0 ? value : Double.NaN;
        } catch (NumberFormatException e) {
            Log.line("upstream: malformed load report value=" + text);
            return Double.NaN;
        }
    }
}
