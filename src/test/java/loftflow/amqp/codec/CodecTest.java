package loftflow.amqp.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.rabbitmq.client.impl.AMQContentHeader;
import com.rabbitmq.client.impl.AMQImpl;
import com.rabbitmq.client.impl.ValueReader;
import com.rabbitmq.client.impl.ValueWriter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.math.BigDecimal;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The codec against RabbitMQ's own client, in both directions, and against bytes that are wrong. */
class CodecTest {
    private static final int MAX = 8 << 10;

    private static Object any(Random random, ValueType kind) {
        return switch (kind) {
            case OCTET -> random.nextInt(256);
            case SHORT -> random.nextInt(65_536);
            case LONG -> (long) random.nextInt(Integer.MAX_VALUE);
            case LONGLONG, TIMESTAMP -> (long) random.nextInt();
            case SHORTSTR -> "s\u00fc".repeat(random.nextInt(80));
            case LONGSTR -> "long\u20ac".repeat(random.nextInt(300));
            case TABLE -> table(random, 0);
            case BIT -> random.nextBoolean();
        };
    }

    /** One field at the most, since the independent client keeps no order; its value may be an array of several. */
    private static Map<String, Object> table(Random random, int nested) {
        Map<String, Object> table = new LinkedHashMap<>();
        if (random.nextInt(5) > 0) {
            table.put("n" + random.nextInt(1_000), field(random, nested));
        }
        return table;
    }

    private static Object field(Random random, int nested) {
        return switch (random.nextInt(nested < 3 ? 14 : 12)) {
            case 0 -> random.nextBoolean();
            case 1 -> (byte) random.nextInt();
            case 2 -> (short) random.nextInt();
            case 3 -> random.nextInt();
            case 4 -> random.nextLong();
            case 5 -> random.nextFloat();
            case 6 -> random.nextDouble();
            case 7 -> new BigDecimal("12.345").movePointLeft(random.nextInt(9));
            case 8 -> "text".repeat(random.nextInt(9));
            case 9 -> Instant.ofEpochSecond(random.nextInt(2_000_000_000));
            case 10 -> new byte[] {1, (byte) random.nextInt()};
            case 11 -> null;
            case 12 -> table(random, nested + 1);
            default -> Arrays.asList(field(random, nested + 1), "x", field(random, nested + 1));
        };
    }

    private static Method anyMethod(Random random, MethodType op) {
        return Method.of(
                op,
                op.arguments().stream()
                        .filter(a -> !a.name().startsWith("reserved"))
                        .map(a -> any(random, a.kind()))
                        .toArray());
    }

    private static byte[] bytes(Method method) {
        ByteBuf out = Unpooled.buffer();
        Frame.write(out, 7, method);
        return ByteBufUtil.getBytes(out);
    }

    private static byte[] theirs(com.rabbitmq.client.impl.Frame frame) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        frame.writeTo(new DataOutputStream(out));
        return out.toByteArray();
    }

    private static com.rabbitmq.client.impl.Frame theirs(byte[] bytes) throws IOException {
        return com.rabbitmq.client.impl.Frame.readFrom(
                new DataInputStream(new ByteArrayInputStream(bytes)), () -> 1 << 20);
    }

    @ParameterizedTest
    @EnumSource(MethodType.class)
    void methodIsTheSameToTheIndependentClientAndBack(MethodType op) throws Exception {
        Random random = new Random(op.ordinal());
        for (int i = 0; i < 50; i++) {
            Method method = anyMethod(random, op);
            byte[] ours = bytes(method);
            var read = AMQImpl.readMethodFrom(theirs(ours).getInputStream());
            assertEquals(op.classId(), read.protocolClassId());
            assertEquals(op.methodId(), read.protocolMethodId());
            assertEquals(op.carriesContent(), read.hasContent());
            byte[] back = theirs(read.toFrame(7));
            assertArrayEquals(ours, back, method.toString());
            Frame frame = Frame.next(Unpooled.wrappedBuffer(back), 1 << 20);
            assertEquals(7, frame.channel());
            assertArrayEquals(ours, bytes(Method.read(frame.payload())));
        }
    }

    @Test
    void contentIsTheSameToTheIndependentClientAndBack() throws Exception {
        Random random = new Random(3);
        for (int i = 0; i < 500; i++) {
            Properties properties = Properties.NONE;
            for (Property property : Property.values()) {
                if (random.nextBoolean()) {
                    properties = properties.with(property, any(random, property.kind()));
                }
            }
            byte[] body = new byte[random.nextInt(3) * random.nextInt(20_000)];
            ByteBuf out = Unpooled.buffer();
            Frame.write(out, 7, Method.of(MethodType.BASIC_PUBLISH, "e", "k", true, false), properties, body, MAX);
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(ByteBufUtil.getBytes(out)));
            com.rabbitmq.client.impl.Frame.readFrom(in, () -> MAX);
            var header = com.rabbitmq.client.impl.Frame.readFrom(in, () -> MAX);
            AMQContentHeader read = AMQImpl.readContentHeaderFrom(header.getInputStream());
            assertEquals(body.length, read.getBodySize());
            int bodies = 0;
            for (int come = 0; come < body.length; bodies++) {
                come += com.rabbitmq.client.impl.Frame.readFrom(in, () -> MAX - Frame.OVERHEAD)
                        .getPayload()
                        .length;
            }
            assertEquals((body.length + MAX - Frame.OVERHEAD - 1) / (MAX - Frame.OVERHEAD), bodies);
            assertEquals(-1, in.read());
            byte[] back = theirs(read.toFrame(7, body.length));
            ByteBuf payload = Frame.next(Unpooled.wrappedBuffer(back), 1 << 20).payload();
            payload.skipBytes(12);
            ByteBuf again = Unpooled.buffer();
            Frame.write(
                    again,
                    7,
                    Method.of(MethodType.BASIC_PUBLISH, "e", "k", true, false),
                    Properties.read(payload),
                    body,
                    MAX);
            assertEquals(out, again);
        }
    }

    @Test
    void tableOfEveryTypeIsTheSameToTheIndependentClientAndBack() throws Exception {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("t", true);
        all.put("b", (byte) -3);
        all.put("s", (short) -300);
        all.put("I", -70_000);
        all.put("l", 1L << 40);
        all.put("f", 1.5f);
        all.put("d", -2.25);
        all.put("D", new BigDecimal("-123.45"));
        all.put("S", "text \u20ac");
        all.put("A", Arrays.asList(1, "two", null, List.of(3L)));
        all.put("T", Instant.ofEpochSecond(1_800_000_000));
        all.put("F", Map.of("inner", Map.of("deeper", "yes")));
        all.put("V", null);
        ByteBuf out = Unpooled.buffer();
        FieldTables.write(out, all);
        byte[] ours = ByteBufUtil.getBytes(out);
        Map<String, Object> read = new ValueReader(new DataInputStream(new ByteArrayInputStream(ours))).readTable();
        assertEquals(all.size(), read.size());
        assertEquals(all.get("D"), read.get("D"));
        assertEquals("text \u20ac", read.get("S").toString());
        ByteArrayOutputStream back = new ByteArrayOutputStream();
        new ValueWriter(new DataOutputStream(back)).writeTable(read);
        assertEquals(all, FieldTables.read(Unpooled.wrappedBuffer(back.toByteArray())));
        all.put("x", new byte[] {1, 2});
        ByteBuf more = Unpooled.buffer();
        FieldTables.write(more, all);
        assertArrayEquals(new byte[] {1, 2}, (byte[])
                new ValueReader(new DataInputStream(new ByteArrayInputStream(ByteBufUtil.getBytes(more))))
                        .readTable()
                        .get("x"));
        // The unsigned types, which neither side writes.
        byte[] unsigned = {0, 0, 0, 17, 1, 'a', 'B', (byte) 200, 1, 'b', 'u', (byte) 0xff, 1, 1, 'c', 'i', -1, 0, 0, 1};
        byte[] fixed = Arrays.copyOf(unsigned, unsigned.length);
        fixed[3] = (byte) (unsigned.length - 4);
        assertEquals(
                Map.of("a", (short) 200, "b", 0xff01, "c", 0xff000001L),
                FieldTables.read(Unpooled.wrappedBuffer(fixed)));
    }

    @Test
    void tablesNestedWithoutEndAreRefused() {
        Map<String, Object> deep = Map.of("x", 1);
        for (int i = 0; i < 17; i++) {
            deep = Map.of("t", deep);
        }
        ByteBuf out = Unpooled.buffer();
        FieldTables.write(out, deep);
        assertTrue(assertThrows(AmqpException.class, () -> FieldTables.read(out))
                .getMessage()
                .contains("nested"));
        // A table that says that it holds itself: its length points beyond what is there.
        ByteBuf cycle = Unpooled.buffer();
        for (int i = 0; i < 100_000; i++) {
            cycle.writeInt(Integer.MAX_VALUE).writeByte(1).writeByte('t').writeByte('F');
        }
        assertEquals(
                AmqpException.SYNTAX_ERROR,
                assertThrows(AmqpException.class, () -> FieldTables.read(cycle)).code());
    }

    private static List<String> decode(ByteBuf in, int step, int max) throws AmqpException {
        List<String> read = new ArrayList<>();
        CommandAssembler assembler = new CommandAssembler(1, 64 << 10, new Count(Integer.MAX_VALUE));
        ByteBuf come = Unpooled.buffer();
        while (in.isReadable()) {
            come.writeBytes(in, Math.min(step, in.readableBytes()));
            for (Frame frame = Frame.next(come, max); frame != null; frame = Frame.next(come, max)) {
                Command command = assembler.add(frame);
                frame.payload().release();
                if (command != null) {
                    read.add(command.method() + " " + command.properties() + " " + Arrays.hashCode(command.body()) + " "
                            + command.size());
                }
            }
        }
        return read;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 8, 9, 100, 4096})
    void framesThatComeInPiecesAreTheSame(int step) throws Exception {
        ByteBuf out = Unpooled.buffer();
        Random random = new Random(11);
        for (int body : new int[] {0, 1, 4088, 4089, 20_000, 65_536}) {
            Frame.write(out, 1, anyMethod(random, MethodType.QUEUE_DECLARE));
            Frame.write(
                    out,
                    1,
                    anyMethod(random, MethodType.BASIC_DELIVER),
                    Properties.NONE.with(Property.TYPE, "t"),
                    new byte[body],
                    4096);
        }
        List<String> whole = decode(out.copy(), Integer.MAX_VALUE, MAX);
        assertEquals(12, whole.size());
        assertEquals(whole, decode(out, step, MAX));
    }

    /** Room that counts what is held. */
    private static final class Count implements CommandAssembler.Room {
        private final int most;
        private int held;
        private int highest;

        Count(int most) {
            this.most = most;
        }

        @Override
        public boolean take(int bytes) {
            if (held + bytes > most) {
                return false;
            }
            held += bytes;
            highest = Math.max(highest, held);
            return true;
        }

        @Override
        public void give(int bytes) {
            held -= bytes;
        }
    }

    private static Command assemble(CommandAssembler assembler, ByteBuf out) throws AmqpException {
        Command last = null;
        for (Frame frame = Frame.next(out, MAX); frame != null; frame = Frame.next(out, MAX)) {
            last = assembler.add(frame);
        }
        return last;
    }

    private static ByteBuf content(int body) {
        ByteBuf out = Unpooled.buffer();
        Frame.write(
                out,
                1,
                Method.of(MethodType.BASIC_PUBLISH, "", "k", false, false),
                Properties.NONE,
                new byte[body],
                MAX);
        return out;
    }

    @Test
    void bodyBeyondTheBoundIsReadPastAndWhatFollowsIsRead() throws Exception {
        Count room = new Count(Integer.MAX_VALUE);
        CommandAssembler assembler = new CommandAssembler(1, 64 << 10, room);
        assertEquals(0, assemble(assembler, content(0)).body().length);
        Command large = assemble(assembler, content((64 << 10) + 1));
        assertTrue(large.isSkipped());
        assertEquals((64 << 10) + 1, large.size());
        assertEquals(0, room.highest, "nothing of it was held");
        Command next = assemble(assembler, content(64 << 10));
        assertEquals(64 << 10, next.body().length);
        assertEquals(0, room.held, "everything is given back");
    }

    @Test
    void bodiesThatAreNeverWholeHoldNoMoreThanThereIsRoom() throws Exception {
        Count room = new Count(10_000);
        CommandAssembler first = new CommandAssembler(1, 64 << 10, room);
        CommandAssembler second = new CommandAssembler(2, 64 << 10, room);
        ByteBuf half = content(9_000);
        assertNull(assemble(first, half.slice(0, half.readableBytes() - 1)));
        assertTrue(assemble(second, content(9_000)).isSkipped());
        assertTrue(room.highest <= 10_000);
        first.close();
        assertEquals(0, room.held);
        assertFalse(assemble(second, content(9_000)).isSkipped());
    }

    private static int code(int... bytes) {
        ByteBuf in = Unpooled.buffer();
        for (int one : bytes) {
            in.writeByte(one);
        }
        return assertThrows(AmqpException.class, () -> {
                    Frame frame = Frame.next(in, MAX);
                    assertNotNull(frame, "more is awaited");
                    new CommandAssembler(1, 100, new Count(100)).add(frame);
                })
                .code();
    }

    @Test
    void framesThatCanBeNoneAreRefusedAtOnce() {
        assertEquals(AmqpException.FRAME_ERROR, code(4), "a type that there is not, from its first byte on");
        assertEquals(AmqpException.FRAME_ERROR, code('A', 'M', 'Q', 'P'));
        assertEquals(AmqpException.FRAME_ERROR, code(1, 0, 1, 0x7f, 0xff, 0xff, 0xff), "larger than agreed on");
        assertEquals(AmqpException.FRAME_ERROR, code(1, 0, 1, 0xff, 0xff, 0xff, 0xff), "a length that looks negative");
        assertEquals(AmqpException.FRAME_ERROR, code(1, 0, 1, 0, 0, 0, 1, 9, 9), "no end octet");
        assertEquals(AmqpException.SYNTAX_ERROR, code(1, 0, 1, 0, 0, 0, 1, 9, 0xCE), "no method's numbers");
        assertEquals(AmqpException.NOT_IMPLEMENTED, code(1, 0, 1, 0, 0, 0, 4, 0, 90, 0, 10, 0xCE), "tx.select");
        assertEquals(
                AmqpException.UNEXPECTED_FRAME,
                code(2, 0, 1, 0, 0, 0, 14, 0, 60, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0xCE),
                "a header ahead of its method");
        assertEquals(AmqpException.UNEXPECTED_FRAME, code(3, 0, 1, 0, 0, 0, 1, 1, 0xCE), "a body ahead of its header");
    }

    @Test
    void methodInsideOfContentAndBodyBeyondItsHeaderAreRefused() throws Exception {
        CommandAssembler assembler = new CommandAssembler(1, 100, new Count(100));
        ByteBuf half = content(50);
        Frame method = Frame.next(half, MAX);
        assembler.add(method);
        method.payload().readerIndex(0);
        assertEquals(
                AmqpException.UNEXPECTED_FRAME,
                assertThrows(AmqpException.class, () -> assembler.add(method)).code());
        assembler.add(Frame.next(half, MAX));
        Frame body = new Frame(Frame.Type.BODY, 1, Unpooled.wrappedBuffer(new byte[51]));
        assertEquals(
                AmqpException.UNEXPECTED_FRAME,
                assertThrows(AmqpException.class, () -> assembler.add(body)).code());
    }

    /** Bytes that are wrong in some places; the whole count is the command {@link Fuzz}. */
    @Test
    void wrongBytesEndInNothingButFaultsOfTheProtocol() {
        Fuzz.Tally tally = Fuzz.run(20_000, 1);
        assertEquals(0, tally.crashes(), tally.firstCrash());
        assertTrue(tally.refused() > 1_000 && tally.read() > 1_000, tally.toString());
    }
}
