package loftflow.listener.http2.flowcontrol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests the allocation of receive windows from the pool. */
class ReceiveWindowAllocatorTest {
    /** Compares random allocations and releases with a simple model of the bytes held. */
    @Property(tries = 300)
    void allocationsStayWithinThePoolAndEachClassHasItsReservation(@ForAll long seed) {
        Random random = new Random(seed);
        long poolBytes = 100_000;
        Map<String, Double> shares = Map.of("settlement", 0.6, "order", 0.3, "status", 0.1);
        List<String> classes = List.of("settlement", "order", "status", "nonsense");
        ReceiveWindowAllocator allocator = new ReceiveWindowAllocator(poolBytes, shares);
        List<ReceiveWindowAllocator.Account> accounts = new ArrayList<>();
        record Held(ReceiveWindowAllocator.Account account, String requestClass, int bytes) {}
        ArrayDeque<Held> held = new ArrayDeque<>();
        Map<String, Long> heldByClass = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            if (accounts.isEmpty() || random.nextInt(20) == 0) {
                accounts.add(allocator.openAccount());
            }
            ReceiveWindowAllocator.Account account = accounts.get(random.nextInt(accounts.size()));
            String requestClass = classes.get(random.nextInt(classes.size()));
            int bytes = 1 + random.nextInt(20_000);
            if (random.nextInt(3) > 0) {
                ReceiveWindowAllocator.Verdict verdict = allocator.tryAllocate(account, requestClass, bytes);
                if (verdict == ReceiveWindowAllocator.Verdict.GRANTED) {
                    held.add(new Held(account, requestClass, bytes));
                    heldByClass.merge(requestClass, (long) bytes, Long::sum);
                } else if (verdict == ReceiveWindowAllocator.Verdict.AFTER_RECLAIM) {
                    assertTrue(
                            allocator.largestHolder().heldBytes() > account.heldBytes(),
                            "the connection that has to release bytes holds more");
                }
                long reservedBytes = (long) (poolBytes * 0.5 * shares.getOrDefault(requestClass, 0.0));
                if (heldByClass.getOrDefault(requestClass, 0L) + bytes <= reservedBytes) {
                    assertTrue(
                            verdict == ReceiveWindowAllocator.Verdict.GRANTED,
                            "the reserved bytes of " + requestClass + " are available");
                }
            } else if (!held.isEmpty()) {
                Held released = random.nextBoolean() ? held.pollFirst() : held.pollLast();
                allocator.release(released.account(), released.requestClass(), released.bytes());
                heldByClass.merge(released.requestClass(), (long) -released.bytes(), Long::sum);
            }
            assertTrue(allocator.heldBytes() <= poolBytes, "held: " + allocator.heldBytes());
            assertEquals(held.stream().mapToLong(Held::bytes).sum(), allocator.heldBytes());
        }
        held.forEach(
                allocation -> allocator.release(allocation.account(), allocation.requestClass(), allocation.bytes()));
        assertEquals(0, allocator.heldBytes());
        assertEquals(
                ReceiveWindowAllocator.Verdict.GRANTED,
                allocator.tryAllocate(accounts.get(0), "nonsense", 50_000),
                "the shared half is available again");
    }

    @Test
    void connectionAboveItsFairShareReleasesBytesForOneBelow() {
        ReceiveWindowAllocator allocator = new ReceiveWindowAllocator(100_000, Map.of());
        ReceiveWindowAllocator.Account large = allocator.openAccount();
        ReceiveWindowAllocator.Account small = allocator.openAccount();
        assertEquals(ReceiveWindowAllocator.Verdict.GRANTED, allocator.tryAllocate(large, "x", 100_000));
        assertEquals(ReceiveWindowAllocator.Verdict.AFTER_RECLAIM, allocator.tryAllocate(small, "x", 50_000));
        assertEquals(large, allocator.largestHolder());
        assertEquals(
                ReceiveWindowAllocator.Verdict.EXHAUSTED,
                allocator.tryAllocate(small, "x", 50_001),
                "the connection would exceed its own fair share");
        assertEquals(ReceiveWindowAllocator.Verdict.EXHAUSTED, allocator.tryAllocate(large, "x", 1));
        allocator.release(large, "x", 50_000);
        assertEquals(ReceiveWindowAllocator.Verdict.GRANTED, allocator.tryAllocate(small, "x", 50_000));
        assertEquals(
                ReceiveWindowAllocator.Verdict.EXHAUSTED,
                allocator.tryAllocate(small, "x", 1),
                "no connection holds more than its fair share");
    }

    @Test
    void windowsStayWithinThePoolAndAreReleasedOnClose() {
        ReceiveWindowAllocator allocator = new ReceiveWindowAllocator(1 << 20, Map.of());
        List<ReceiveWindowAllocator.Account> accounts = new ArrayList<>();
        long sumBytes = 0;
        int firstBytes = -1;
        for (int i = 0; i < 1_000; i++) {
            accounts.add(allocator.openAccount());
            int extraBytes = allocator.allocateWindow(accounts.get(i), 256 << 10);
            firstBytes = firstBytes < 0 ? extraBytes : firstBytes;
            sumBytes += extraBytes;
        }
        assertEquals(
                (256 << 10) - ReceiveWindowAllocator.INITIAL_WINDOW_BYTES,
                firstBytes,
                "the whole target window is allocated while the pool is free");
        assertTrue(sumBytes <= 1 << 20, "sum: " + sumBytes);
        accounts.forEach(allocator::closeAccount);
        accounts.forEach(allocator::closeAccount);
        assertEquals(
                firstBytes,
                allocator.allocateWindow(allocator.openAccount(), 256 << 10),
                "a second close has no effect");
        assertEquals(
                0,
                allocator.allocateWindow(allocator.openAccount(), 1_000),
                "no extension for a target below the initial window");
    }
}
