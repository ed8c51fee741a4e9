package loftflow.config.schema;

import static loftflow.config.schema.Setting.Type.FLAG;
import static loftflow.config.schema.Setting.Type.NUMBER;
import static loftflow.config.schema.Setting.Type.SIZE;
import static loftflow.config.schema.Setting.Type.SPAN;
import static loftflow.config.schema.Setting.Type.WHOLE;

/** The settings that the configuration tool derives, which only relay files have. */
abstract class DerivedSettingsCatalog extends Catalog {
    private static final double KIB = 1 << 10;
    private static final double MIB = 1 << 20;

    /** Creates an empty catalog with the beginning of its reference. */
    DerivedSettingsCatalog(String preface) {
        super(preface);
    }

    /** Adds all derived settings, in the order of the reference. */
    final void addDerivedSettings() {
        addDerivedBuffer();
        addDerivedCalls();
        addDerivedClients();
        addDerivedJournal();
        addDerivedProcess();
        addDerivedRules();
    }

    private void addDerivedBuffer() {
        derivedTable("buffer", "Messages that the relay holds.");
        derived(
                "buffer.messages",
                WHOLE,
                null,
                1,
                10_000_000,
                "How many messages may be open at once; more are refused with a time to come back.");
        derived("buffer.round", SPAN, "5ms", MS, 100 * MS, "How long what comes in is gathered before it is acted on.");
    }

    private void addDerivedCalls() {
        derivedTable("calls", "Calls to partners.");
        derived("calls.slots", WHOLE, null, 1, 1_000_000, "Calls that may be out at once.");
        derived("calls.connections", WHOLE, null, 1, 1_000_000, "Connections to partners that may be open at once.");
        derived("calls.attempts", WHOLE, "12", 1, 1_000, "Attempts for one message at the most.");
        derived("calls.connect-timeout", SPAN, "1.5s", MS, 60 * SECOND, "How long a connection may take to come up.");
        derived("calls.idle", SPAN, "10s", 100 * MS, DAY, "Connections idle for so long are not used again.");
        derived("calls.cancel", FLAG, "true", 0, ANY, "Calls may be given up before their time is over.");
        derived("calls.probes", FLAG, "true", 0, ANY, "Partners may be asked how they fare; each time is a call.");
        derived("calls.reports", FLAG, "true", 0, ANY, "Answers may tell of limits.");
        derived("calls.second-copies", FLAG, "false", 0, ANY, "Some class may have second copies.");
    }

    private void addDerivedClients() {
        derivedTable("clients", "Connections of programs.");
        derived("clients.connections", WHOLE, null, 1, 1_000_000, "Connections that programs may hold at once.");
        derived(
                "clients.streams",
                WHOLE,
                "1000",
                1,
                1_000_000,
                "HTTP/2: streams that all connections of a front may have"
                        + " open at once; more are refused as never taken.");
        derived(
                "clients.buffer",
                SIZE,
                "4MiB",
                128 * KIB,
                1024 * MIB,
                "HTTP/2: what half-read bodies of a front may take.");
    }

    private void addDerivedJournal() {
        derivedTable("journal", "What outlasts the process.");
        derived("journal.limit", SIZE, null, 256 * KIB, ANY, "Space for the journal, in the folder that lasts.");
    }

    private void addDerivedProcess() {
        derivedTable("process", "The start line's figures.");
        derived("process.heap", SIZE, null, 16 * MIB, ANY, "The largest heap (-Xmx).");
        derived("process.direct", SIZE, null, MIB, ANY, "The largest direct memory (-XX:MaxDirectMemorySize).");
    }

    private void addDerivedRules() {
        derivedTable("rules", "Figures of the rules that bind every message.");
        derived("rules.drain-grace", SPAN, "500ms", 0, DAY, "After this span a draining endpoint gets nothing new.");
        derived("rules.fall-multiple", NUMBER, "2.5", 1, 100, "A cold partner falls at so many times what it can do.");
        derived("rules.fall-span", SPAN, "2s", MS, DAY, "It falls when that lasts so long.");
        derived("rules.cold-from", NUMBER, "0.15", 0, 1, "The share of its capacity with which a partner returns.");
        derived("rules.warm-up", SPAN, "10s", 0, DAY, "After this span a partner that returned is warm.");
        derived(
                "rules.order-pause",
                SPAN,
                "1s",
                0,
                DAY,
                "In a class in order, a key waits so long after a call whose outcome is unknown.");
    }
}
