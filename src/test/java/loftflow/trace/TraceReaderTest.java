package loftflow.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.zip.GZIPOutputStream;
import loftflow.trace.read.TraceReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Files of traces in their published forms, whole, spoilt and broken off. */
class TraceReaderTest {
    private static final String GOOGLE = "600000000,,3418309,0,4155527081,0,user-a,3,9,0.125,0.07446,0.0004244,0\n";
    private static final String ALIBABA = "M1,2,j_1,1,Terminated,87076,87079,100,0.39\n";
    private static final String AZURE = "vm1,sub1,dep1,424500,425400,37.8,3.4,37.8,Delay-insensitive,2,4\n";
    private static final String FUNCTIONS = "app,func,end_timestamp,duration\na1,f1,103.5,1.25\n";

    @TempDir
    Path folder;

    private final RowTally tally = new RowTally();
    private final List<Row> rows = new ArrayList<>();

    private Path file(String name, byte[] bytes) throws IOException {
        return Files.write(folder.resolve(name), bytes);
    }

    private static byte[] gzip(String text) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (OutputStream out = new GZIPOutputStream(bytes)) {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        }
        return bytes.toByteArray();
    }

    private void read(TraceFormat form, Path... files) throws IOException {
        new TraceReader(
                        form,
                        time -> true,
                        new ArrivalSorter(10_000_000, 1_000, ArrivalSorter.Late.DROP, tally, rows::add),
                        tally)
                .read(List.of(files));
        assertEquals(tally.rowsRead(), tally.rowsSent() + tally.rowsCut() + tally.rowsRejected(), "the figures add up");
        assertEquals(tally.rowsSent(), rows.size());
    }

    private void read(TraceFormat form, String text) throws IOException {
        read(form, file("trace.csv", text.getBytes(StandardCharsets.UTF_8)));
    }

    private RowTally.Rejected rejected(RowFault fault) {
        assertTrue(tally.rejected().containsKey(fault), fault + " of " + tally.rejected());
        return tally.rejected().get(fault);
    }

    @Test
    void eachFormIsRead() throws IOException {
        read(TraceFormat.GOOGLE_2011_TASK_EVENTS, GOOGLE);
        assertEquals(new Row(1, 600_000_000, "user-a", "3418309", "3", 0.125), rows.remove(0));
    }

    @Test
    void alibabaAndAzureTellSeconds() throws IOException {
        read(TraceFormat.ALIBABA_2018_BATCH_TASK, ALIBABA);
        assertEquals(new Row(1, 87_076_000_000L, "j_1", "j_1", "1", 2), rows.get(0));
    }

    @Test
    void azureMachinesAskWhenTheyAreMade() throws IOException {
        read(TraceFormat.AZURE_V1_VMTABLE, AZURE);
        assertEquals(new Row(1, 424_500_000_000L, "sub1", "dep1", "Delay-insensitive", 2), rows.get(0));
    }

    @Test
    void functionsAskWhereTheyEndLessWhatTheyTook() throws IOException {
        read(TraceFormat.AZURE_FUNCTIONS_2021, FUNCTIONS);
        assertEquals(new Row(2, 102_250_000, "a1", "f1", "", 1.25), rows.get(0));
        assertEquals(1, tally.rowsCut(), "the header");
    }

    private static String day(String function, int minute, int count) {
        return "o1,a1," + function + ",http,"
                + IntStream.range(0, MinuteCounts.DAY)
                        .mapToObj(m -> m == minute ? "" + count : "0")
                        .collect(Collectors.joining(","))
                + "\n";
    }

    @Test
    void countsAMinuteBecomeCallsInTheOrderOfTimeDayAfterDay() throws IOException {
        String header = "HashOwner,HashApp,HashFunction,Trigger,"
                + IntStream.rangeClosed(1, MinuteCounts.DAY)
                        .mapToObj(Integer::toString)
                        .collect(Collectors.joining(","))
                + "\n";
        String bad = day("f9", 5, 1).replace(",1,", ",-1,");
        Path one = file(
                "d01",
                (header + day("f1", 3, 1_000) + day("f2", 3, 2) + day("f3", 1, 1) + day("f4", 0, 0) + bad).getBytes());
        Path two = file("d02", (header + day("f1", 0, 3)).getBytes());
        read(TraceFormat.AZURE_FUNCTIONS_2019, one, two);
        assertEquals(1_006, rows.size());
        assertEquals(3, tally.rowsCut(), "two headers, and a function that was not called");
        assertEquals(List.of(6L), rejected(RowFault.BAD_FIELD).lines());
        for (int i = 1; i < rows.size(); i++) {
            assertTrue(rows.get(i).time() >= rows.get(i - 1).time());
        }
        assertEquals("a1/f3", rows.get(0).flow());
        assertTrue(rows.stream()
                .filter(r -> r.flow().equals("a1/f1"))
                .limit(1_000)
                .allMatch(r -> r.time() >= 180_000_000L && r.time() < 240_000_000L));
        for (int second = 180; second < 240; second++) {
            long from = second * 1_000_000L;
            long count = rows.stream()
                    .filter(r -> r.time() >= from && r.time() < from + 1_000_000)
                    .count();
            assertTrue(count >= 16 && count <= 19, "in second " + second + ": " + count);
        }
        assertTrue(rows.subList(1_003, 1_006).stream()
                .allMatch(r -> r.time() >= 86_400_000_000L && r.time() < 86_460_000_000L));
    }

    @Test
    void whatBecomesOfATaskIsCut() throws IOException {
        read(TraceFormat.GOOGLE_2011_TASK_EVENTS, GOOGLE + GOOGLE.replace(",0,user", ",4,user"));
        assertEquals(1, tally.rowsSent());
        assertEquals(1, tally.rowsCut());
    }

    @ParameterizedTest
    @CsvSource({
        "'', NO_TIME",
        "x, BAD_TIME",
        "1e9, BAD_TIME",
        "-5, NEGATIVE_TIME",
        "0, SPECIAL_TIME",
        "9223372036854775807, SPECIAL_TIME",
        "9223372036854775808, OVERFLOWING_TIME",
        "99999999999999999999999999999999999999, OVERFLOWING_TIME",
        "2011-05-01 02:30:00, BAD_TIME"
    })
    void timeThatIsNoneIsRejectedWithItsLineAndASample(String time, RowFault fault) throws IOException {
        read(TraceFormat.GOOGLE_2011_TASK_EVENTS, GOOGLE + time + GOOGLE.substring(9) + GOOGLE);
        assertEquals(List.of(2L), rejected(fault).lines());
        assertTrue(
                rejected(fault).sample().startsWith(time + ",,3418309,"),
                rejected(fault).sample());
        assertEquals(2, tally.rowsSent());
    }

    @Test
    void wrongColumnCountNulAndEmptyFieldsAreRejectedAndTheRestGoesOn() throws IOException {
        read(
                TraceFormat.GOOGLE_2011_TASK_EVENTS,
                GOOGLE + "1,2,3\n" + GOOGLE.replace("user-a", "us\0er") + GOOGLE.replace("user-a", "")
                        + GOOGLE.replace(",0,user", ",12,user") + GOOGLE);
        assertEquals(List.of(2L), rejected(RowFault.COLUMNS).lines());
        assertEquals(List.of(3L), rejected(RowFault.NUL).lines());
        assertEquals("us.er", rejected(RowFault.NUL).sample().split(",")[6]);
        assertEquals(List.of(4L, 5L), rejected(RowFault.BAD_FIELD).lines());
        assertEquals(2, tally.rowsSent());
    }

    @Test
    void headerWhereNoneShouldBeIsTold() throws IOException {
        read(
                TraceFormat.ALIBABA_2018_BATCH_TASK,
                "task_name,instance_num,job_name,task_type,status,start_time,end_time,plan_cpu,plan_mem\n" + ALIBABA);
        assertEquals(List.of(1L), rejected(RowFault.HEADER).lines());
        assertEquals(1, tally.rowsSent());
    }

    @Test
    void quotedLineBreaksBelongToTheirField() throws IOException {
        read(TraceFormat.ALIBABA_2018_BATCH_TASK, ALIBABA.replace("M1", "\"M\n1\"") + ALIBABA.replace("87076", ""));
        assertEquals(1, tally.rowsSent());
        assertEquals(List.of(3L), rejected(RowFault.NO_TIME).lines(), "lines are the file's own");
    }

    @Test
    void gzipAndPlainFilesAreReadInOrderByTheirBytes() throws IOException {
        read(
                TraceFormat.GOOGLE_2011_TASK_EVENTS,
                file("part-0.csv", gzip(GOOGLE)),
                file("part-1.csv.gz", (GOOGLE + "bad\n").getBytes(StandardCharsets.UTF_8)));
        assertEquals(2, tally.rowsSent());
        assertEquals(List.of(3L), rejected(RowFault.COLUMNS).lines(), "lines count over all files");
    }

    @Test
    void truncatedGzipIsToldAndWhatCameBeforeIsSent() throws IOException {
        StringBuilder many = new StringBuilder();
        for (int i = 0; i < 5_000; i++) {
            many.append(GOOGLE.replace("3418309", "" + i * 7919L % 100_003));
        }
        byte[] whole = gzip(many.toString());
        read(
                TraceFormat.GOOGLE_2011_TASK_EVENTS,
                file("a.gz", Arrays.copyOf(whole, whole.length / 2)),
                file("b", GOOGLE.getBytes()));
        assertEquals(1, rejected(RowFault.TRUNCATED).count());
        assertTrue(tally.rowsSent() > 500 && tally.rowsSent() < 5_000, "sent: " + tally.rowsSent());
    }

    @Test
    void emptyFileAndOneOfMalformedRowsAloneSendNothing() throws IOException {
        read(
                TraceFormat.GOOGLE_2011_TASK_EVENTS,
                file("empty", new byte[0]),
                file("bad", "a\nb\nc\nd\ne\nf\ng\n".getBytes()));
        assertEquals(7, tally.rowsRead());
        RowTally.Rejected all = rejected(RowFault.COLUMNS);
        assertEquals(7, all.count());
        assertEquals(List.of(1L, 2L, 3L, 4L, 5L), all.lines());
    }

    @Test
    void fileThatIsNotThereIsAnError() {
        assertThrows(IOException.class, () -> read(TraceFormat.GOOGLE_2011_TASK_EVENTS, folder.resolve("none")));
    }
}
