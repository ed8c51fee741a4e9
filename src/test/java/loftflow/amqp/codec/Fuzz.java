package loftflow.amqp.codec;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Feeds corrupted frames to the codec: {@code Fuzz CASES SEED}. Counts crashes, hangs and leaked bytes. */
public final class Fuzz {
    private static final int FRAME_MAX = 8 << 10;
    private static final long MAX_CASE_NANOS = 1_000_000_000;

    /** The result of a run; a crash is an exception other than a protocol error, a hang or a leak of reserved bytes. */
    record Tally(int cases, int commandsRead, int rejected, int crashes, String firstCrash, double seconds) {}

    private Fuzz() {}

    /** Runs the given number of cases from a seed. */
    public static void main(String[] args) {
        System.out.println(run(Integer.parseInt(args[0]), Long.parseLong(args[1])));
    }

    private static byte[] validBytes(Random random) {
        ByteBuf out = Unpooled.buffer();
        Map<String, Object> table = Map.of("a", 1, "t", Map.of("b", "text", "l", List.of(1L, 2.0)));
        for (int i = 0; i < 4; i++) {
            switch (random.nextInt(5)) {
                case 0 -> Frame.write(
                        out, 1, Method.of(MethodType.QUEUE_DECLARE, "q", false, true, false, false, true, table));
                case 1 -> Frame.write(out, 1, Method.of(MethodType.BASIC_ACK, 7L, true));
                case 2 -> Frame.write(
                        out, 1, Method.of(MethodType.CONNECTION_START_OK, table, "PLAIN", "\0a\0b", "en_US"));
                case 3 -> Frame.writeHeartbeat(out);
                default -> Frame.write(
                        out,
                        1,
                        Method.of(MethodType.BASIC_PUBLISH, "e", "k", true, false),
                        Properties.NONE
                                .with(Property.HEADERS, table)
                                .with(Property.MESSAGE_ID, "m")
                                .with(Property.TIMESTAMP, 5L),
                        new byte[random.nextInt(9_000)],
                        FRAME_MAX);
            }
        }
        return ByteBufUtil.getBytes(out);
    }

    private static byte[] corruptedBytes(Random random) {
        byte[] bytes = validBytes(random);
        for (int i = random.nextInt(4); i > 0; i--) {
            int at = random.nextInt(Math.min(bytes.length, random.nextBoolean() ? 40 : bytes.length));
            switch (random.nextInt(4)) {
                case 0 -> bytes[at] = (byte) random.nextInt();
                case 1 -> bytes[at] ^= (byte) (1 << random.nextInt(8));
                case 2 -> bytes = Arrays.copyOf(bytes, at + 1);
                default -> Arrays.fill(
                        bytes, at, Math.min(bytes.length, at + 4), (byte) (random.nextBoolean() ? 0xff : 0));
            }
        }
        return bytes;
    }

    static Tally run(int cases, long seed) {
        Random random = new Random(seed);
        int read = 0;
        int refused = 0;
        int crashes = 0;
        String firstCrash = null;
        long start = System.nanoTime();
        for (int i = 0; i < cases; i++) {
            long caseStart = System.nanoTime();
            int[] reservedBytes = new int[1];
            try {
                read += decode(corruptedBytes(random), random, reservedBytes);
            } catch (AmqpException e) {
                refused++;
            } catch (RuntimeException | Error e) {
                crashes++;
                firstCrash = firstCrash == null ? "case " + i + ": " + e : firstCrash;
            }
            if (reservedBytes[0] != 0 || System.nanoTime() - caseStart > MAX_CASE_NANOS) {
                crashes++;
                firstCrash = firstCrash == null ? "case " + i + " holds " + reservedBytes[0] + " or hangs" : firstCrash;
            }
        }
        return new Tally(cases, read, refused, crashes, firstCrash, (System.nanoTime() - start) / 1e9);
    }

    private static int decode(byte[] bytes, Random random, int[] reservedBytes) throws AmqpException {
        CommandAssembler assembler = new CommandAssembler(1, 8_000, new CommandAssembler.BodyBudget() {
            @Override
            public boolean tryReserve(int taken) {
                reservedBytes[0] += taken;
                return true;
            }

            @Override
            public void release(int given) {
                reservedBytes[0] -= given;
            }
        });
        ByteBuf in = Unpooled.buffer();
        int read = 0;
        try {
            for (int from = 0; from < bytes.length; ) {
                int step = Math.min(1 + random.nextInt(bytes.length), bytes.length - from);
                in.writeBytes(bytes, from, step);
                from += step;
                for (Frame frame = Frame.next(in, FRAME_MAX); frame != null; frame = Frame.next(in, FRAME_MAX)) {
                    if (frame.type() != Frame.Type.HEARTBEAT && assembler.add(frame) != null) {
                        read++;
                    }
                }
            }
        } finally {
            assembler.close();
        }
        return read;
    }
}
