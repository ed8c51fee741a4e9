package loftflow.interop;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import loftflow.fake.FakeBroker;
import loftflow.fake.FakePartner;

/** A partner on the other side of a relay, and how it fails. */
abstract class OutboundSide implements AutoCloseable {
    /** A posting that came whole. */
    record Came(String id, String key, boolean ran) {}

    /** What belongs to the relay file beside the endpoint. */
    abstract String tables();

    abstract String endpoint();

    /** Takes messages as it should. */
    abstract void well();

    /** Takes messages as it should; what was sent to it before and is not answered yet never runs. */
    abstract void reopen() throws IOException;

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
    static final class Http extends OutboundSide {
        private final FakePartner partner;

        Http() throws IOException {
            partner = new FakePartner(5, 0);
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
            partner.setBehavior(FakePartner.Behavior.NORMAL);
        }

        @Override
        void reopen() throws IOException {
            partner.restart(FakePartner.Behavior.NORMAL);
        }

        @Override
        void breaks() {
            partner.setBehavior(FakePartner.Behavior.RESET);
        }

        @Override
        void silent() {
            partner.setBehavior(FakePartner.Behavior.SILENT);
        }

        @Override
        void shut() {
            partner.setBehavior(FakePartner.Behavior.UNAVAILABLE);
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
    static final class Amqp extends OutboundSide {
        private final FakeBroker broker;

        Amqp() throws IOException {
            broker = new FakeBroker();
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
            broker.setOutcome(FakeBroker.PublishOutcome.CONFIRM);
        }

        /** A blocked broker has been sent nothing. */
        @Override
        void reopen() {
            well();
        }

        @Override
        void breaks() {
            broker.setOutcome(FakeBroker.PublishOutcome.DROP_AFTER);
        }

        @Override
        void silent() {
            broker.setOutcome(FakeBroker.PublishOutcome.NO_CONFIRM);
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
            return broker.publishesWhileBlocked();
        }

        @Override
        public void close() {
            broker.close();
        }
    }
}
