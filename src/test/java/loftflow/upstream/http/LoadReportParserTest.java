package loftflow.upstream.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import loftflow.policy.api.LimitReport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the parsing of complete and malformed load reports. */
class LoadReportParserTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "TEXT x0=0.4, x1=25 | 0.4 | 25",
                "x1=25,x0=0 | 0 | 25",
                "TEXT x1=3 | NaN | 3",
                "TEXT x0=-1, x1=Infinity | NaN | NaN",
                "TEXT x0=many, x1=7 | NaN | 7",
                "TEXT x0, x1=7, x2=9 | NaN | 7"
            })
    void malformedFieldsAreTreatedAsAbsent(String text, double remainingShare, double limitPerSecond) {
        assertEquals(new LimitReport(remainingShare, limitPerSecond), LoadReportParser.parse(text));
    }

    @Test
    void missingReportHasNoFields() {
        assertEquals(LimitReport.NONE, LoadReportParser.parse(null));
    }
}
