package loftflow.listener.http2.flowcontrol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** What a connection may cost and how streams and connections end, as tables and properties. */
class FlowControlTest {
    private static final long SECOND = 1_000_000;
    private static final ConcurrentStreamLimit.Load CALM = new ConcurrentStreamLimit.Load(0.1, 1_000, 0);

    // ---- budgets

    @ParameterizedTest
    @EnumSource(FrameBudget.Cost.class)
    void floodIsStoppedAndWhatIsUsualIsNot(FrameBudget.Cost cost) {
        FrameBudget budget = new FrameBudget(100);
        int passed = 0;
        while (passed < 100_000 && budget.allows(cost, 0)) {
            passed++;
        }
        assertTrue(passed >= 10 && passed <= 4_000, cost + " in one moment: " + passed);
        assertTrue(budget.allows(cost, SECOND), "a second later there is room again");
        FrameBudget patient = new FrameBudget(100);
        for (int i = 0; i < 10_000; i++) {
            assertTrue(patient.allows(cost, i * SECOND / 4), "four a second pass for ever");
        }
    }

    @Test
    void oneKindOfFrameDoesNotUseUpTheBudgetOfAnother() {
        FrameBudget budget = new FrameBudget(1);
        while (budget.allows(FrameBudget.Cost.PING, 0)) {
            assertTrue(budget.allows(FrameBudget.Cost.WINDOW_UPDATE, 0));
        }
        assertTrue(budget.allows(FrameBudget.Cost.RESET, 0));
    }

    // ---- streams that are offered

    @Property(tries = 200)
    void offersStayWithinTheTotalAsFarAsFloorsAllowAndComeBack(
            @ForAll @IntRange(min = 1, max = 20) int floor,
            @ForAll @IntRange(min = 0, max = 200) int more,
            @ForAll @IntRange(min = 0, max = 4_000) int evenMore,
            @ForAll long seed) {
        ConcurrentStreamLimit.Bounds bounds =
                new ConcurrentStreamLimit.Bounds(floor, floor + more, floor + more + evenMore);
        ConcurrentStreamLimit offer = new ConcurrentStreamLimit(bounds);
        Random random = new Random(seed);
        long now = 0;
        int before = offer.each(1);
        long changed = -ConcurrentStreamLimit.STEP;
        for (int i = 0; i < 200; i++) {
            now += random.nextInt(200_000);
            offer.observe(
                    new ConcurrentStreamLimit.Load(random.nextDouble(), random.nextInt(300_000), random.nextInt(3)),
                    now);
            int each = offer.each(1);
            if (each != before) {
                assertTrue(now - changed >= ConcurrentStreamLimit.STEP, "steps too soon: " + (now - changed));
                changed = now;
                before = each;
            }
            int busy = 1 + random.nextInt(300);
            assertTrue(offer.each(busy) >= floor && offer.each(busy) <= bounds.most());
            assertTrue((long) offer.each(busy) * busy <= Math.max(bounds.total(), (long) floor * busy));
        }
        for (int i = 0; i < 100; i++) {
            offer.observe(CALM, now += ConcurrentStreamLimit.STEP);
        }
        assertEquals(bounds.most(), offer.each(1), "all is offered again once the relay is calm");
    }

    @ParameterizedTest
    @CsvSource({"0.9, 0, 0", "0.1, 200000, 0", "0.1, 0, 1"})
    void eachKindOfShortageHalvesAndTheFloorHolds(double fullness, long lag, int refused) {
        ConcurrentStreamLimit offer = new ConcurrentStreamLimit(new ConcurrentStreamLimit.Bounds(2, 100, 400));
        List<Integer> told = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            offer.observe(new ConcurrentStreamLimit.Load(fullness, lag, refused), i * ConcurrentStreamLimit.STEP);
            told.add(offer.each(4));
        }
        assertEquals(List.of(50, 25, 12, 6, 3, 2, 2), told.subList(0, 7));
        assertEquals(2, told.get(11));
    }

    @Test
    void betweenRoomyAndFullNothingChangesAndTheTotalIsAHardBound() {
        ConcurrentStreamLimit offer = new ConcurrentStreamLimit(new ConcurrentStreamLimit.Bounds(2, 100, 400));
        offer.observe(new ConcurrentStreamLimit.Load(0.9, 0, 0), 0);
        int each = offer.each(1);
        for (int i = 1; i < 50; i++) {
            offer.observe(new ConcurrentStreamLimit.Load(0.7, 0, 0), i * ConcurrentStreamLimit.STEP);
            assertEquals(each, offer.each(1));
        }
        assertTrue(offer.admits(399));
        assertFalse(offer.admits(400));
        assertThrows(IllegalArgumentException.class, () -> new ConcurrentStreamLimit.Bounds(3, 2, 9));
    }

    @ParameterizedTest
    @CsvSource({
        "100, 80, false",
        "100, 70, true",
        "100, 120, false",
        "100, 130, true",
        "2, 3, true",
        "3, 3, false",
        "180, 200, true",
        "200, 200, false"
    })
    void smallStepsAreNotTold(int told, int now, boolean worth) {
        assertEquals(
                worth,
                new ConcurrentStreamLimit(new ConcurrentStreamLimit.Bounds(2, 200, 400)).worthTelling(told, now));
    }

    @Test
    void smallerOfferBindsOnceItIsHeard() {
        AcknowledgedStreamLimit allowance = new AcknowledgedStreamLimit(10);
        assertTrue(allowance.allows(1_000), "RFC 9113, 6.5.2: no limit before the first SETTINGS are heard");
        allowance.offer(4);
        allowance.offer(8);
        assertEquals(8, allowance.last());
        for (int expected : new int[] {10, 4, 8, 8}) {
            allowance.acknowledged();
            assertTrue(allowance.allows(expected - 1) && !allowance.allows(expected), "heard of " + expected);
        }
    }

    // ---- credit

    /** Wishes and returns in any order, against a plain model of who holds what. */
    @Property(tries = 300)
    void creditIsNeverBeyondThePoolAndEachClassHasItsOwn(@ForAll long seed) {
        Random random = new Random(seed);
        long pool = 100_000;
        Map<String, Double> shares = Map.of("settlement", 0.6, "order", 0.3, "status", 0.1);
        List<String> types = List.of("settlement", "order", "status", "nonsense");
        ReceiveWindowAllocator credit = new ReceiveWindowAllocator(pool, shares);
        List<ReceiveWindowAllocator.Account> accounts = new ArrayList<>();
        record Held(ReceiveWindowAllocator.Account account, String type, int bytes) {}
        ArrayDeque<Held> held = new ArrayDeque<>();
        Map<String, Long> byType = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            if (accounts.isEmpty() || random.nextInt(20) == 0) {
                accounts.add(credit.open());
            }
            ReceiveWindowAllocator.Account account = accounts.get(random.nextInt(accounts.size()));
            String type = types.get(random.nextInt(types.size()));
            int bytes = 1 + random.nextInt(20_000);
            if (random.nextInt(3) > 0) {
                ReceiveWindowAllocator.Verdict verdict = credit.take(account, type, bytes);
                if (verdict == ReceiveWindowAllocator.Verdict.GRANTED) {
                    held.add(new Held(account, type, bytes));
                    byType.merge(type, (long) bytes, Long::sum);
                } else if (verdict == ReceiveWindowAllocator.Verdict.OTHERS_FIRST) {
                    assertTrue(credit.heaviest().held() > account.held(), "the one that gives way holds more");
                }
                long own = (long) (pool * 0.5 * shares.getOrDefault(type, 0.0));
                if (byType.getOrDefault(type, 0L) + bytes <= own) {
                    assertTrue(
                            verdict == ReceiveWindowAllocator.Verdict.GRANTED,
                            "what belongs to " + type + " is there for it");
                }
            } else if (!held.isEmpty()) {
                Held back = random.nextBoolean() ? held.pollFirst() : held.pollLast();
                credit.give(back.account(), back.type(), back.bytes());
                byType.merge(back.type(), (long) -back.bytes(), Long::sum);
            }
            assertTrue(credit.held() <= pool, "held: " + credit.held());
            assertEquals(held.stream().mapToLong(Held::bytes).sum(), credit.held());
        }
        held.forEach(h -> credit.give(h.account(), h.type(), h.bytes()));
        assertEquals(0, credit.held());
        assertEquals(
                ReceiveWindowAllocator.Verdict.GRANTED,
                credit.take(accounts.get(0), "nonsense", 50_000),
                "the common half is whole again");
    }

    @Test
    void connectionThatHoldsMoreThanItsShareGivesWayToOneThatHoldsLess() {
        ReceiveWindowAllocator credit = new ReceiveWindowAllocator(100_000, Map.of());
        ReceiveWindowAllocator.Account greedy = credit.open();
        ReceiveWindowAllocator.Account modest = credit.open();
        assertEquals(ReceiveWindowAllocator.Verdict.GRANTED, credit.take(greedy, "x", 100_000));
        assertEquals(ReceiveWindowAllocator.Verdict.OTHERS_FIRST, credit.take(modest, "x", 50_000));
        assertEquals(greedy, credit.heaviest());
        assertEquals(
                ReceiveWindowAllocator.Verdict.NO_ROOM, credit.take(modest, "x", 50_001), "beyond its own fair share");
        assertEquals(ReceiveWindowAllocator.Verdict.NO_ROOM, credit.take(greedy, "x", 1));
        credit.give(greedy, "x", 50_000);
        assertEquals(ReceiveWindowAllocator.Verdict.GRANTED, credit.take(modest, "x", 50_000));
        assertEquals(
                ReceiveWindowAllocator.Verdict.NO_ROOM,
                credit.take(modest, "x", 1),
                "nobody holds more than a fair share");
    }

    @Test
    void windowsOfAllConnectionsStayWithinThePoolAndComeBack() {
        ReceiveWindowAllocator credit = new ReceiveWindowAllocator(1 << 20, Map.of());
        List<ReceiveWindowAllocator.Account> accounts = new ArrayList<>();
        long sum = 0;
        int first = -1;
        for (int i = 0; i < 1_000; i++) {
            accounts.add(credit.open());
            int extra = credit.window(accounts.get(i), 256 << 10);
            first = first < 0 ? extra : first;
            sum += extra;
        }
        assertEquals((256 << 10) - ReceiveWindowAllocator.BASE_WINDOW, first, "with room, all that is wanted");
        assertTrue(sum <= 1 << 20, "in all " + sum);
        accounts.forEach(credit::close);
        accounts.forEach(credit::close);
        assertEquals(first, credit.window(credit.open(), 256 << 10), "once for each, whoever tells it twice");
        assertEquals(0, credit.window(credit.open(), 1_000), "never below the base");
    }

    // ---- how a stream ends

    @ParameterizedTest
    @CsvSource({
        // before, event, deed, after
        "READING, RECORDED, NOTHING, TAKEN",
        "READING, ANSWERED, ANSWER, OVER",
        "READING, REFUSED, ANSWER, OVER",
        "READING, RESET, DROP, OVER",
        "READING, LOST, DROP, OVER",
        "TAKEN, ANSWERED, ANSWER, OVER",
        "TAKEN, RESET, GO_ON, OVER",
        "TAKEN, LOST, GO_ON, OVER",
        "TAKEN, RECORDED, IMPOSSIBLE, TAKEN",
        "TAKEN, REFUSED, IMPOSSIBLE, TAKEN",
        "OVER, ANSWERED, NOTHING, OVER",
        "OVER, REFUSED, NOTHING, OVER",
        "OVER, RESET, NOTHING, OVER",
        "OVER, LOST, NOTHING, OVER",
        "OVER, RECORDED, IMPOSSIBLE, OVER"
    })
    void streamEnds(
            StreamLifecycle.State before, StreamLifecycle.Event event, String deed, StreamLifecycle.State after) {
        StreamLifecycle life = new StreamLifecycle();
        if (before != StreamLifecycle.State.READING) {
            life.on(
                    before == StreamLifecycle.State.TAKEN
                            ? StreamLifecycle.Event.RECORDED
                            : StreamLifecycle.Event.RESET);
        }
        if (deed.equals("IMPOSSIBLE")) {
            assertThrows(IllegalStateException.class, () -> life.on(event));
        } else {
            assertEquals(StreamLifecycle.Deed.valueOf(deed), life.on(event));
        }
        assertEquals(after, life.state());
    }

    // ---- how a connection ends

    @Test
    void goodbyeWaitsForTheRoundTripAndForEachOpenStream() {
        GracefulGoAway farewell = new GracefulGoAway();
        assertEquals(GracefulGoAway.Step.NOTHING, farewell.answered(0), "nothing was asked");
        assertEquals(GracefulGoAway.Step.WARN, farewell.begin(0, 2 * SECOND));
        assertEquals(GracefulGoAway.Step.NOTHING, farewell.begin(1, 3 * SECOND), "once");
        assertEquals(GracefulGoAway.Step.NOTHING, farewell.look(10, 0, false), "what is on its way may still come");
        assertFalse(farewell.refusesNew());
        assertEquals(GracefulGoAway.Step.NAME_LAST, farewell.answered(20_000));
        assertTrue(farewell.refusesNew());
        assertEquals(GracefulGoAway.Step.NOTHING, farewell.answered(21_000));
        assertEquals(GracefulGoAway.Step.NOTHING, farewell.look(30_000, 1, false), "a stream is open");
        assertEquals(GracefulGoAway.Step.NOTHING, farewell.look(40_000, 0, true), "its answer has not left");
        assertEquals(GracefulGoAway.Step.CLOSE, farewell.look(50_000, 0, false));
        assertEquals(GracefulGoAway.Step.NOTHING, farewell.look(60_000, 0, false), "once");
    }

    @ParameterizedTest
    @CsvSource({"1, 300000, 2000000", "1, 100000, 100000"})
    void clientThatIgnoresItIsNamedTheLastStreamAndClosedInTime(int open, long named, long closed) {
        GracefulGoAway farewell = new GracefulGoAway();
        farewell.begin(0, closed);
        List<String> steps = new ArrayList<>();
        for (long now = 0; now < 4 * SECOND; now += 10_000) {
            GracefulGoAway.Step step = farewell.look(now, open, true);
            if (step != GracefulGoAway.Step.NOTHING) {
                steps.add(step + " " + now);
            }
        }
        assertEquals(List.of("NAME_LAST " + named, "CLOSE " + Math.max(closed, named + 10_000)), steps);
    }

    @Test
    void earlierTimeHoldsAndALaterOneDoesNot() {
        GracefulGoAway farewell = new GracefulGoAway();
        farewell.begin(0, 5 * SECOND);
        farewell.begin(1, SECOND);
        farewell.begin(2, 9 * SECOND);
        farewell.answered(3);
        assertEquals(GracefulGoAway.Step.NOTHING, farewell.look(SECOND - 1, 1, false));
        assertEquals(GracefulGoAway.Step.CLOSE, farewell.look(SECOND, 1, false));
    }

    // ---- how long a connection stands

    @Test
    void connectionGoesWhenItHasStoodLongEnough() {
        ConnectionExpiry.Spans spans = new ConnectionExpiry.Spans(2 * SECOND, 60 * SECOND, 600 * SECOND, 10 * SECOND);
        ConnectionExpiry silent = new ConnectionExpiry(spans, 0, 0);
        assertEquals(ConnectionExpiry.Verdict.STAYS, silent.look(2 * SECOND - 1, false));
        assertEquals(ConnectionExpiry.Verdict.ENDS, silent.look(2 * SECOND, false));

        ConnectionExpiry idle = new ConnectionExpiry(spans, 0, 0);
        idle.spoke(SECOND);
        assertEquals(ConnectionExpiry.Verdict.STAYS, idle.look(61 * SECOND - 1, false));
        assertEquals(ConnectionExpiry.Verdict.GOES, idle.look(61 * SECOND, false));
        idle.busy(true, 61 * SECOND);
        assertEquals(ConnectionExpiry.Verdict.STAYS, idle.look(500 * SECOND, false));
        idle.busy(false, 500 * SECOND);
        assertEquals(ConnectionExpiry.Verdict.STAYS, idle.look(559 * SECOND, false));

        ConnectionExpiry old = new ConnectionExpiry(spans, 0, 0.5);
        old.spoke(0);
        old.busy(true, 0);
        assertEquals(ConnectionExpiry.Verdict.STAYS, old.look(570 * SECOND - 1, false));
        assertEquals(
                ConnectionExpiry.Verdict.GOES, old.look(570 * SECOND, false), "a twentieth earlier, by its spread");

        ConnectionExpiry stuck = new ConnectionExpiry(spans, 0, 0);
        stuck.spoke(0);
        stuck.busy(true, 0);
        assertEquals(ConnectionExpiry.Verdict.STAYS, stuck.look(SECOND, true));
        assertEquals(ConnectionExpiry.Verdict.STAYS, stuck.look(9 * SECOND, false), "it has read something");
        assertEquals(ConnectionExpiry.Verdict.STAYS, stuck.look(10 * SECOND, true));
        assertEquals(ConnectionExpiry.Verdict.STAYS, stuck.look(20 * SECOND - 1, true));
        assertEquals(ConnectionExpiry.Verdict.ENDS, stuck.look(20 * SECOND, true));
        ConnectionExpiry ageless = new ConnectionExpiry(new ConnectionExpiry.Spans(SECOND, SECOND, 0, SECOND), 0, 1);
        ageless.spoke(0);
        ageless.busy(true, 0);
        assertEquals(ConnectionExpiry.Verdict.STAYS, ageless.look(Long.MAX_VALUE / 2, false));
    }
}
