package loftflow.config.schema;

import static loftflow.config.schema.Setting.Type.ADDRESS;
import static loftflow.config.schema.Setting.Type.FLAG;
import static loftflow.config.schema.Setting.Type.FOLDER;
import static loftflow.config.schema.Setting.Type.NAME;
import static loftflow.config.schema.Setting.Type.NAMES;
import static loftflow.config.schema.Setting.Type.NUMBER;
import static loftflow.config.schema.Setting.Type.RATE;
import static loftflow.config.schema.Setting.Type.SIZE;
import static loftflow.config.schema.Setting.Type.SOURCE;
import static loftflow.config.schema.Setting.Type.SPAN;
import static loftflow.config.schema.Setting.Type.TEXT;
import static loftflow.config.schema.Setting.Type.WHOLE;

import java.util.List;

/**
 * The settings of application files and relay files. An application file has the settings that are not derived. A relay
 * file has the same and the derived ones, so that it can be checked by itself against what was declared.
 */
public final class Schema extends DerivedSettingsCatalog {
    /** The only instance. */
    public static final Schema RELAY = new Schema();

    private static final double YEAR = 366 * DAY;
    private static final double KIB = 1 << 10;
    private static final double MIB = 1 << 20;
    private static final int MAX_BODY_BYTES = 64 << 10;

    private Schema() {
        super("# Settings\n\nWritten by `loftflow config reference` from the schema"
                + " that the checks use. Derived settings stand in relay files alone; `loftflow config write`"
                + " works them"
                + " out.\n");
        addTop();
        addMachine();
        addListener();
        addHttp2Listener();
        addQueue();
        addMapping();
        addDeduplication();
        addBroker();
        addDiscovery();
        addFleet();
        addTenant();
        addMessageClass();
        addKind();
        addPartner();
        addEndpoint();
        addDeadLetterStore();
        addWarmStart();
        addDerivedSettings();
    }

    private void addTop() {
        need("format", WHOLE, 1, 1, "The version of this form of file: 1.");
        need("name", NAME, 0, ANY, "The program that the relay stands beside, or the relay itself.");
    }

    private void addMachine() {
        table("machine", "The machine that the relay gets.");
        may("machine.cores", NUMBER, "1", 0.05, 64, "Share of CPU: one event loop uses one core at the most.");
        need("machine.memory", SIZE, 64 * MIB, ANY, "Memory for the process; beyond it the system may end it.");
        need("machine.descriptors", WHOLE, 64, 1_000_000, "File descriptors that the process may hold.");
        need("machine.disk", SIZE, 256 * KIB, ANY, "Space in the folder that lasts.");
        need("machine.folder", FOLDER, 0, ANY, "The folder that lasts, for the journal; private to this relay.");
        may("machine.building", NAME, "main", 0, ANY, "The building that the machine stands in.");
        may("machine.stop-time", SPAN, "4s", SECOND, DAY, "From SIGTERM until the process is ended outright.");
    }

    private void addListener() {
        tables("front", "A door through which programs hand messages in; at least one is needed.");
        word(
                "front[].protocol",
                "http",
                List.of("http", "amqp", "http2"),
                "What programs speak there: HTTP/1.1, AMQP 0-9-1, or HTTP/2 without TLS.");
        need("front[].listen", ADDRESS, 0, ANY, "The address to listen on; port 0 lets the system pick.");
        may(
                "front[].name",
                NAME,
                null,
                0,
                ANY,
                "AMQP: the name by which the journal knows the front, so that ends find"
                        + " their way after a restart; front-1 for the first one, and so on, if left out.");
        may(
                "front[].exchange",
                TEXT,
                "loftflow",
                0,
                ANY,
                "AMQP: where programs publish; the nameless exchange does too.");
        may("front[].user", TEXT, null, 0, ANY, "AMQP: the user that may come in; any if left out.");
        may("front[].password-file", FOLDER, null, 0, ANY, "AMQP: a file with the user's password.");
        may(
                "front[].heartbeat",
                SPAN,
                "5s",
                SECOND,
                3_600 * SECOND,
                "AMQP: offered to programs; one silent for two is given up.");
        may("front[].channels", WHOLE, "64", 1, 65_535, "AMQP: channels that one program may open.");
        may("front[].frame", SIZE, "128KiB", 4 * KIB, MIB, "AMQP: the largest frame.");
        may(
                "front[].reply-hold",
                SPAN,
                "1h",
                SECOND,
                YEAR,
                "AMQP: how long an end waits for its program, before it is"
                        + " told as it would be with no program that asks.");
    }

    private void addHttp2Listener() {
        may(
                "front[].streams",
                WHOLE,
                null,
                1,
                10_000,
                "HTTP/2: streams that one connection is offered at the most; fewer"
                        + " while the relay is short of room or time. If left out 100, or as many as"
                        + " buffer.messages and"
                        + " clients.streams allow.");
        may("front[].header-list", SIZE, "16KiB", 2 * KIB, 64 * KIB, "HTTP/2: the largest list of headers.");
        may(
                "front[].window",
                SIZE,
                "256KiB",
                64 * KIB,
                4 * MIB,
                "HTTP/2: what one connection may have half read, where there is room for it.");
        may("front[].idle", SPAN, "60s", 100 * MS, DAY, "HTTP/2: a connection with no stream for so long goes.");
        may(
                "front[].age",
                SPAN,
                "0s",
                0,
                YEAR,
                "HTTP/2: a connection so old goes, in good order, so that programs find"
                        + " their way to other relays; 0s for any age.");
        may(
                "front[].stall",
                SPAN,
                "10s",
                100 * MS,
                DAY,
                "HTTP/2: a program that reads nothing for so long, while answers wait for it, is given up.");
        may(
                "front[].resets",
                RATE,
                "100/s",
                0.1,
                100_000,
                "HTTP/2: streams that one connection may reset, over some"
                        + " seconds; beyond it the connection ends.");
        may(
                "front[].drain",
                SPAN,
                "2s",
                100 * MS,
                DAY,
                "HTTP/2: how long open streams of a connection that goes may take.");
    }

    private void addQueue() {
        tables("queue", "A queue of an AMQP broker that messages are taken from.");
        need("queue[].name", NAME, 0, ANY, "The name by which the journal knows it.");
        need("queue[].broker", NAME, 0, ANY, "The [[broker]] that tells how to log in.");
        need("queue[].address", ADDRESS, 0, ANY, "Where the broker listens.");
        need("queue[].queue", TEXT, 0, ANY, "The queue's name at the broker.");
        may(
                "queue[].prefetch",
                WHOLE,
                "32",
                1,
                65_535,
                "Messages that the broker hands out ahead of their acknowledgements.");
        word(
                "queue[].acknowledge",
                "manual",
                List.of("manual", "auto"),
                "Manual: a message leaves the queue once it is"
                        + " taken on. Auto: as it is handed out, so that one that is refused is lost.");
        word(
                "queue[].ends",
                "asked",
                List.of("asked", "always", "never"),
                "Whether ends are told: to the queue that a"
                        + " message asks for, also of messages that ask for none, or not at all.");
        may("queue[].reply-queue", TEXT, null, 0, ANY, "Where ends go of messages that ask for no reply.");
    }

    private void addMapping() {
        tables(
                "mapping",
                "How an AMQP message becomes one of the relay's; the first one that fits is used, and one with"
                        + " the fallbacks where there is none. A source is header:NAME, property:NAME,"
                        + " routing-key, exchange or"
                        + " fixed:VALUE.");
        may("mapping[].content-type", TEXT, null, 0, ANY, "The content type that it is for; every one if left out.");
        may("mapping[].id", SOURCE, "property:message-id", 0, ANY, "Where the id is taken from.");
        may("mapping[].class", SOURCE, "property:type", 0, ANY, "Where the class is taken from.");
        may("mapping[].tenant", SOURCE, null, 0, ANY, "Where the tenant is taken from, if there are any.");
        may("mapping[].key", SOURCE, "header:Idempotency-Key", 0, ANY, "Where the key is taken from.");
        may("mapping[].destination", SOURCE, "routing-key", 0, ANY, "Where the destination's number is taken from.");
        may(
                "mapping[].budget",
                SOURCE,
                "property:expiration",
                0,
                ANY,
                "Where the milliseconds are taken from that a"
                        + " message has; its class's deadline holds where it has none.");
    }

    private void addDeduplication() {
        table("duplicates", "The memory of AMQP messages that were taken on, so that one that comes again is known.");
        may("duplicates.span", SPAN, "1h", SECOND, YEAR, "How long an id is remembered.");
        may(
                "duplicates.entries",
                WHOLE,
                "20000",
                1,
                10_000_000,
                "How many are; when there are so many, nothing more is"
                        + " taken on over AMQP until the oldest is over.");
    }

    private void addBroker() {
        tables("broker", "How to log in at brokers of AMQP 0-9-1.");
        need("broker[].name", NAME, 0, ANY, "The name that endpoints and queues give.");
        may("broker[].virtual-host", TEXT, "/", 0, ANY, "The virtual host.");
        may("broker[].user", TEXT, "guest", 0, ANY, "The user.");
        may("broker[].password-file", FOLDER, null, 0, ANY, "A file with the password; guest if left out.");
        may("broker[].heartbeat", SPAN, "5s", SECOND, 3_600 * SECOND, "A broker silent for two of them is given up.");
        may("broker[].tls", FLAG, "false", 0, ANY, "Connect over TLS.");
        may(
                "broker[].trust-file",
                FOLDER,
                null,
                0,
                ANY,
                "Certificates (PEM) of who signs the broker's; those of the JVM if left out.");
        may("broker[].tls-name", TEXT, null, 0, ANY, "The name in the broker's certificate; its address if left out.");
    }

    private void addDiscovery() {
        table("discovery", "Where partners' endpoints come from, if not from this file alone.");
        may("discovery.agent", ADDRESS, null, 0, ANY, "The agent that tells the list of endpoints and its changes.");
        may(
                "discovery.notices",
                ADDRESS,
                null,
                0,
                ANY,
                "Where ends other than delivery are told; the agent's address"
                        + " if left out, and with no agent a file in the folder that lasts.");
    }

    private void addFleet() {
        table("fleet", "The relays that share the partners' limits.");
        may("fleet.relays", WHOLE, "1", 1, 100_000, "How many relays call the same partners.");
        may("fleet.number", WHOLE, "0", 0, 99_999, "Which of them this one is, from 0.");
    }

    private void addTenant() {
        tables("tenant", "Whoever messages are sent for; with none, any name or none is taken.");
        need("tenant[].name", NAME, 0, ANY, "The name that a message gives.");
        may("tenant[].rate", RATE, "0/s", 0, ANY, "Its share, over all relays; 0/s for no share of its own.");
    }

    private void addMessageClass() {
        tables("class", "A class of messages; at least one is needed.");
        need("class[].name", NAME, 0, ANY, "The name that a message gives.");
        wordNeeded(
                "class[].repeat",
                List.of("repeatable", "by-key", "once"),
                "How often a message may take effect: any number of times, once for each key, or once.");
        may("class[].key-window", SPAN, null, 1, DAY, "How long a partner drops a repeated key.");
        word(
                "class[].key-scope",
                "all",
                List.of("all", "building"),
                "Which endpoints of a partner share what they know of keys.");
        need("class[].wanted", SPAN, 1, DAY, "Delivered within this span a message is worth all it can be.");
        need("class[].deadline", SPAN, 1, DAY, "After this span a message is given up.");
        may("class[].worth", NUMBER, "1", 0, 1e9, "What a delivery is worth, beside other classes.");
        may("class[].late-worth", NUMBER, "0", 0, 1, "The share of its worth that is left at the deadline.");
        may("class[].in-order", FLAG, "false", 0, ANY, "Messages of one key go out one at a time, in order.");
        may(
                "class[].second-copies",
                FLAG,
                "false",
                0,
                ANY,
                "A second copy may be sent while the first has no answer yet.");
        need("class[].peak-rate", RATE, 0, ANY, "Messages a second at the busiest, to this relay.");
        may("class[].mean-rate", RATE, null, 0, ANY, "Messages a second over a day, to this relay.");
        may("class[].body", SIZE, "1KiB", 0, MAX_BODY_BYTES, "The usual size of a body.");
        may("class[].largest-body", SIZE, "64KiB", 1, MAX_BODY_BYTES, "The largest body.");
        may(
                "class[].shelf-life",
                SPAN,
                "1d",
                1,
                YEAR,
                "How long a message that is kept as undeliverable is worth sending again by itself.");
        may("class[].to", NAMES, null, 0, ANY, "The kinds of partner that the class goes to; all if left out.");
    }

    private void addKind() {
        tables("kind", "A kind of partner; one that is not named here has the fallbacks.");
        need("kind[].name", NAME, 0, ANY, "The name that partners give.");
        may("kind[].batch", WHOLE, "1", 1, 100, "Messages that may travel in one call.");
        may("kind[].routes-apart", FLAG, "false", 0, ANY, "Each endpoint has a limit and outages of its own.");
        may("kind[].idle", SPAN, "10s", 100 * MS, DAY, "Such a partner closes a connection idle for so long.");
    }

    private void addPartner() {
        tables("partner", "A destination; at least one is needed unless discovery has an agent.");
        need("partner[].name", NAME, 0, ANY, "A name for staff.");
        need("partner[].number", WHOLE, 0, 999_999_999, "The number by which messages name it.");
        need("partner[].kind", NAME, 0, ANY, "What kind of partner it is.");
        may("partner[].limit", RATE, null, 0, ANY, "Calls a second that it takes from all relays together, if known.");
        need("partner[].response", SPAN, 1, DAY, "How long a call usually takes.");
    }

    private void addEndpoint() {
        tables("partner[].endpoint", "An address at which the partner takes calls; none where discovery tells them.");
        need("partner[].endpoint[].id", NAME, 0, ANY, "A name that is the same at every relay.");
        need("partner[].endpoint[].address", ADDRESS, 0, ANY, "Where it listens.");
        may(
                "partner[].endpoint[].broker",
                NAME,
                null,
                0,
                ANY,
                "The [[broker]] that tells how to log in, where the endpoint is a broker of AMQP 0-9-1.");
        may(
                "partner[].endpoint[].exchange",
                TEXT,
                "",
                0,
                ANY,
                "AMQP: the exchange to publish to; the nameless one if left out.");
        may(
                "partner[].endpoint[].routing-key",
                TEXT,
                "",
                0,
                ANY,
                "AMQP: the routing key; at the nameless exchange a queue's name.");
        may("partner[].endpoint[].building", NAME, "main", 0, ANY, "The building that it stands in.");
    }

    private void addDeadLetterStore() {
        table("undeliverable", "Messages that could not be delivered, kept to be inspected and sent again.");
        may("undeliverable.keep", FLAG, "false", 0, ANY, "Keep them; their clients are told that they failed.");
        may("undeliverable.limit", SIZE, "16MiB", MIB, ANY, "Space for them in the folder that lasts.");
        may("undeliverable.entries", WHOLE, "100000", 1, 100_000_000, "How many there may be.");
        may("undeliverable.high", NUMBER, "0.9", 0.1, 1, "Share of the limit from which on the store is full.");
        may("undeliverable.low", NUMBER, "0.8", 0.1, 1, "Share of the limit below which it is not full any more.");
        word(
                "undeliverable.when-full",
                "refuse",
                List.of("refuse", "log"),
                "A full store refuses new work of each class"
                        + " that fails, or lets it go on and logs each message that could not be kept as lost.");
        may(
                "undeliverable.age",
                SPAN,
                "30d",
                SECOND,
                YEAR,
                "Entries that are delivered or discarded are removed then.");
        may("undeliverable.pace", RATE, "1/s", 1e-4, 1_000, "Messages sent again to one destination, at the most.");
        may(
                "undeliverable.pause",
                SPAN,
                "1s",
                100 * MS,
                DAY,
                "Between two tries of one entry; doubles up to 64 times.");
        may("undeliverable.clock-margin", SPAN, "1s", 0, DAY, "By how much the clocks of partners may differ.");
        may("undeliverable.listen-on", SPAN, "30s", 0, DAY, "How long a late answer is listened for after a time-out.");
    }

    private void addWarmStart() {
        table(
                "memory",
                "What the relay remembers of its partners' endpoints over a restart, for a start without discovery.");
        may("memory.keep", FLAG, "false", 0, ANY, "Remember them.");
        may(
                "memory.limit",
                SIZE,
                "2MiB",
                16 * KIB,
                ANY,
                "Space for it in the folder that lasts, three tenths of it for one"
                        + " picture: an endpoint takes some 150 bytes.");
        may(
                "memory.write-rate",
                SIZE,
                "20KiB",
                KIB,
                100 * MIB,
                "Bytes a second that are written, on average over a minute.");
        may(
                "memory.half-life",
                SPAN,
                "30m",
                SECOND,
                YEAR,
                "Trust in an endpoint halves with each: after a thirteenth"
                        + " of one (95 in 100) it is tried first, after thirty it is used only if nothing else"
                        + " is left.");
        may(
                "memory.settle",
                SPAN,
                "1m",
                0,
                DAY,
                "How long discovery must tell an empty list, one that leaves out nine"
                        + " of ten endpoints or one of an older revision before what it leaves out is gone; 0s"
                        + " to believe each list as it is told.");
        may("memory.wait-margin", SPAN, "100ms", 0, DAY, "Added to a wait that a partner told before the restart.");
        may(
                "memory.sync",
                FLAG,
                "true",
                0,
                ANY,
                "A picture is on the disk itself before it counts, in case the machine fails.");
    }
}
