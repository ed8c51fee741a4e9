package pipitstage.relay;

import java.util.ArrayList;
import java.util.List;
import pipitstage.Policy.ListKind;
import pipitstage.engine.Message;
import pipitstage.engine.Partners;
import pipitstage.engine.Target;
import pipitstage.partner.amqp.BrokerClient;

/** Partners of both kinds: each route goes to the client that speaks its protocol. */
final class RoutedPartners implements Partners {
    private final Partners http;
    private final BrokerClient amqp;

    RoutedPartners(Partners http, BrokerClient amqp) {
        this.http = http;
        this.amqp = amqp;
    }

    private Partners of(String route) {
        return amqp.has(route) ? amqp : http;
    }

    @Override
    public void list(ListKind kind, List<Target> targets) {
        List<Target> brokers = new ArrayList<>();
        List<Target> hosts = new ArrayList<>();
        targets.forEach(target -> (amqp.has(target.listed().route()) ? brokers : hosts).add(target));
        amqp.list(kind, brokers);
        http.list(kind, hosts);
    }

    @Override
    public void send(String route, List<Outgoing> outgoing) {
        of(route).send(route, outgoing);
    }

    @Override
    public void cancel(Message.Attempt attempt) {
        of(attempt.route()).cancel(attempt);
    }

    @Override
    public void probe(String route) {
        of(route).probe(route);
    }

    @Override
    public void closeIdle(String route) {
        of(route).closeIdle(route);
    }
}
