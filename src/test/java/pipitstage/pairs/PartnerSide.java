package pipitstage.pairs;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import pipitstage.standin.StandInBroker;
import pipitstage.standin.StandInPartner;

/** A partner on the other side of a relay, and how it fails. */
abstract class PartnerSide implements AutoCloseable {
    /** A posting that came whole. */
    record Came(String id, String key, boolean ran) {}

    /** What belongs to the relay file beside the endpoint. */
    abstract String tables();

    abstract String endpoint();

    /** Takes messages as it should. */
    abstract void well();

    /** Runs what comes, and lets nobody know. */
    abstract void breaks();

    /** Runs what comes, and never answers. */
    abstract void silent();

    /** Wants nothing for now, and says so; nothing runs. */
    abstract void shut();

    abstract List<Came> came();

    abstract Map<String, Integer> effects();

    /** How often a wait that it told was not kept, where it can tell. */
    abstract int waitsBroken();

    @Override
    public abstract void close() throws IOException;

    /** A partner that takes calls over HTTP/1.1. */
    static final class Http extends PartnerSide {
        private final StandInPartner partner;

        Http() throws IOException {
            partner = new StandInPartner(5, 0);
        }

        @Override
        String tables() {
            return "";
        }

        @Override
        String endpoint() {
            return "[[partner.endpoint]]\nid = \"iron-1\"\naddress = \"" + partner.address() + "\"\n";
        }

        @Override
        void well() {
            partner.be(StandInPartner.Mood.WELL);
        }

        @Override
        void breaks() {
            partner.be(StandInPartner.Mood.RESETS);
        }

        @Override
        void silent() {
            partner.be(StandInPartner.Mood.SILENT);
        }

        @Override
        void shut() {
            partner.be(StandInPartner.Mood.SHUT);
        }

        @Override
        List<Came> came() {
            return partner.postings().stream()
                    .map(p -> new Came(p.id(), p.key(), p.ran()))
                    .toList();
        }

        @Override
        Map<String, Integer> effects() {
            return partner.effects();
        }

        @Override
        int waitsBroken() {
            return 0;
        }

        @Override
        public void close() throws IOException {
            partner.close();
        }
    }

    /** A partner behind a broker. */
    static final class Amqp extends PartnerSide {
        private final StandInBroker broker;

        Amqp() throws IOException {
            broker = new StandInBroker();
            broker.bind("orders", "topic", "elevator.*", "elevator-7");
        }

        @Override
        String tables() {
            return "[[broker]]\nname = \"grain\"\nheartbeat = \"1s\"\n";
        }

        @Override
        String endpoint() {
            return "[[partner.endpoint]]\nid = \"iron-1\"\naddress = \"" + broker.address() + "\"\nbroker = \"grain\"\n"
                    + "exchange = \"orders\"\nrouting-key = \"elevator.7\"\n";
        }

        @Override
        void well() {
            broker.block(false);
            broker.be(StandInBroker.Fate.CONFIRM);
        }

        @Override
        void breaks() {
            broker.be(StandInBroker.Fate.DROP_AFTER);
        }

        @Override
        void silent() {
            broker.be(StandInBroker.Fate.SILENT);
        }

        @Override
        void shut() {
            broker.block(true);
        }

        @Override
        List<Came> came() {
            return broker.postings().stream()
                    .map(p -> new Came(p.id(), p.key(), p.ran()))
                    .toList();
        }

        @Override
        Map<String, Integer> effects() {
            return broker.effects();
        }

        @Override
        int waitsBroken() {
            return broker.waitsBroken();
        }

        @Override
        public void close() {
            broker.close();
        }
    }
}
