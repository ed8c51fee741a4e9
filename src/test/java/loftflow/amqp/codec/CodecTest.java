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

/** Compares the codec with the RabbitMQ client, in both directions, and feeds it malformed bytes. */
class CodecTest {
    private static final int FRAME_MAX = 8 << 10;

    private static Object randomValue(Random random, ValueType kind) {
        return switch (kind) {
            case OCTET -> random.nextInt(256);
            case SHORT -> random.nextInt(65_536);
            case LONG -> (long) random.nextInt(Integer.MAX_VALUE);
            case LONGLONG, TIMESTAMP -> (long) random.nextInt();
            case SHORTSTR -> "s\u00fc".repeat(random.nextInt(80));
            case LONGSTR -> "long\u20ac".repeat(random.nextInt(300));
            case TABLE -> randomTable(random, 0);
            case BIT -> random.nextBoolean();
        };
    }

    /** At most one field, as the RabbitMQ client does not preserve the order; its value may be an array. */
    private static Map<String, Object> randomTable(Random random, int depth) {
        Map<String, Object> table = new LinkedHashMap<>();
        if (random.nextInt(5) > 0) {
            table.put("n" + random.nextInt(1_000), randomField(random, depth));
        }
        return table;
    }

    private static Object randomField(Random random, int depth) {
        return switch (random.nextInt(depth < 3 ? 14 : 12)) {
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
            case 12 -> randomTable(random, depth + 1);
            default -> Arrays.asList(randomField(random, depth + 1), "x", randomField(random, depth + 1));
        };
    }

    private static Method randomMethod(Random random, MethodType op) {
        return Method.of(
                op,
                op.arguments().stream()
                        .filter(a -> !a.name().startsWith("reserved"))
                        .map(a -> randomValue(random, a.valueType()))
                        .toArray());
    }

    private static byte[] bytes(Method method) {
        ByteBuf out = Unpooled.buffer();
        Frame.write(out, 7, method);
        return ByteBufUtil.getBytes(out);
    }

    private static byte[] rabbitMq(com.rabbitmq.client.impl.Frame frame) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        frame.writeTo(new DataOutputStream(out));
        return out.toByteArray();
    }

    private static com.rabbitmq.client.impl.Frame rabbitMq(byte[] bytes) throws IOException {
        return com.rabbitmq.client.impl.Frame.readFrom(
                new DataInputStream(new ByteArrayInputStream(bytes)), () -> 1 << 20);
    }

    @ParameterizedTest
    @EnumSource(MethodType.class)
    void methodRoundTripsThroughTheRabbitMqClient(MethodType op) throws Exception {
        Random random = new Random(op.ordinal());
        for (int i = 0; i < 50; i++) {
            Method method = randomMethod(random, op);
            byte[] encoded = bytes(method);
            var read = AMQImpl.readMethodFrom(rabbitMq(encoded).getInputStream());
            assertEquals(op.classId(), read.protocolClassId());
            assertEquals(op.methodId(), read.protocolMethodId());
            assertEquals(op.carriesContent(), read.hasContent());
            byte[] reencoded = rabbitMq(read.toFrame(7));
            assertArrayEquals(encoded, reencoded, method.toString());
            Frame frame = Frame.next(Unpooled.wrappedBuffer(reencoded), 1 << 20);
            assertEquals(7, frame.channel());
            assertArrayEquals(encoded, bytes(Method.read(frame.payload())));
        }
    }

    @Test
    void contentRoundTripsThroughTheRabbitMqClient() throws Exception {
        Random random = new Random(3);
        for (int i = 0; i < 500; i++) {
            Properties properties = Properties.NONE;
            for (Property property : Property.values()) {
                if (random.nextBoolean()) {
                    properties = properties.with(property, randomValue(random, property.valueType()));
                }
            }
            byte[] body = new byte[random.nextInt(3) * random.nextInt(20_000)];
            ByteBuf out = Unpooled.buffer();
            Frame.write(
                    out, 7, Method.of(MethodType.BASIC_PUBLISH, "e", "k", true, false), properties, body, FRAME_MAX);
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(ByteBufUtil.getBytes(out)));
            com.rabbitmq.client.impl.Frame.readFrom(in, () -> FRAME_MAX);
            var header = com.rabbitmq.client.impl.Frame.readFrom(in, () -> FRAME_MAX);
            AMQContentHeader read = AMQImpl.readContentHeaderFrom(header.getInputStream());
            assertEquals(body.length, read.getBodySize());
            int bodies = 0;
            for (int received = 0; received < body.length; bodies++) {
                received += com.rabbitmq.client.impl.Frame.readFrom(in, () -> FRAME_MAX - Frame.OVERHEAD_BYTES)
                        .getPayload()
                        .length;
            }
            assertEquals(
                    (body.length + FRAME_MAX - Frame.OVERHEAD_BYTES - 1) / (FRAME_MAX - Frame.OVERHEAD_BYTES), bodies);
            assertEquals(-1, in.read());
            byte[] reencoded = rabbitMq(read.toFrame(7, body.length));
            ByteBuf payload =
                    Frame.next(Unpooled.wrappedBuffer(reencoded), 1 << 20).payload();
            payload.skipBytes(12);
            ByteBuf again = Unpooled.buffer();
            Frame.write(
                    again,
                    7,
                    Method.of(MethodType.BASIC_PUBLISH, "e", "k", true, false),
                    Properties.read(payload),
                    body,
                    FRAME_MAX);
            assertEquals(out, again);
        }
    }

    @Test
    void tableOfEveryTypeRoundTripsThroughTheRabbitMqClient() throws Exception {
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
        byte[] encoded = ByteBufUtil.getBytes(out);
        Map<String, Object> read = new ValueReader(new DataInputStream(new ByteArrayInputStream(encoded))).readTable();
        assertEquals(all.size(), read.size());
        assertEquals(all.get("D"), read.get("D"));
        assertEquals("text \u20ac", read.get("S").toString());
        ByteArrayOutputStream reencoded = new ByteArrayOutputStream();
        new ValueWriter(new DataOutputStream(reencoded)).writeTable(read);
        assertEquals(all, FieldTables.read(Unpooled.wrappedBuffer(reencoded.toByteArray())));
        all.put("x", new byte[] {1, 2});
        ByteBuf more = Unpooled.buffer();
        FieldTables.write(more, all);
        assertArrayEquals(new byte[] {1, 2}, (byte[])
                new ValueReader(new DataInputStream(new ByteArrayInputStream(ByteBufUtil.getBytes(more))))
                        .readTable()
                        .get("x"));
        // The unsigned types, which neither codec writes.
        byte[] unsigned = {0, 0, 0, 17, 1, 'a', 'B', (byte) 200, 1, 'b', 'u', (byte) 0xff, 1, 1, 'c', 'i', -1, 0, 0, 1};
        byte[] fixed = Arrays.copyOf(unsigned, unsigned.length);
        fixed[3] = (byte) (unsigned.length - 4);
        assertEquals(
                Map.of("a", (short) 200, "b", 0xff01, "c", 0xff000001L),
                FieldTables.read(Unpooled.wrappedBuffer(fixed)));
    }

    @Test
    void tooDeeplyNestedTablesAreRejected() {
        Map<String, Object> deep = Map.of("x", 1);
        for (int i = 0; i < 17; i++) {
            deep = Map.of("t", deep);
        }
        ByteBuf out = Unpooled.buffer();
        FieldTables.write(out, deep);
        assertTrue(assertThrows(AmqpException.class, () -> FieldTables.read(out))
                .getMessage()
                .contains("nested"));
        // Tables whose declared length exceeds the buffer.
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
        CommandAssembler assembler = new CommandAssembler(1, 64 << 10, new CountingBudget(Integer.MAX_VALUE));
        ByteBuf received = Unpooled.buffer();
        while (in.isReadable()) {
            received.writeBytes(in, Math.min(step, in.readableBytes()));
            for (Frame frame = Frame.next(received, max); frame != null; frame = Frame.next(received, max)) {
                Command command = assembler.add(frame);
                frame.payload().release();
                if (command != null) {
                    read.add(command.method() + " " + command.properties() + " " + Arrays.hashCode(command.body()) + " "
                            + command.bodySize());
                }
            }
        }
        return read;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 8, 9, 100, 4096})
    void framesDecodeTheSameFromFragments(int step) throws Exception {
        ByteBuf out = Unpooled.buffer();
        Random random = new Random(11);
        for (int body : new int[] {0, 1, 4088, 4089, 20_000, 65_536}) {
            Frame.write(out, 1, randomMethod(random, MethodType.QUEUE_DECLARE));
            Frame.write(
                    out,
                    1,
                    randomMethod(random, MethodType.BASIC_DELIVER),
                    Properties.NONE.with(Property.TYPE, "t"),
                    new byte[body],
                    4096);
        }
        List<String> whole = decode(out.copy(), Integer.MAX_VALUE, FRAME_MAX);
        assertEquals(12, whole.size());
        assertEquals(whole, decode(out, step, FRAME_MAX));
    }

    /** A budget that counts the reserved bytes. */
    private static final class CountingBudget implements CommandAssembler.BodyBudget {
        private final int limitBytes;
        private int reservedBytes;
        private int peakBytes;

        CountingBudget(int limitBytes) {
            this.limitBytes = limitBytes;
        }

        @Override
        public boolean tryReserve(int bytes) {
            if (reservedBytes + bytes > limitBytes) {
                return false;
            }
            reservedBytes += bytes;
            peakBytes = Math.max(peakBytes, reservedBytes);
            return true;
        }

        @Override
        public void release(int bytes) {
            reservedBytes -= bytes;
        }
    }

    private static Command assemble(CommandAssembler assembler, ByteBuf out) throws AmqpException {
        Command last = null;
        for (Frame frame = Frame.next(out, FRAME_MAX); frame != null; frame = Frame.next(out, FRAME_MAX)) {
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
                FRAME_MAX);
        return out;
    }

    @Test
    void oversizedBodyIsSkippedAndTheNextCommandIsRead() throws Exception {
        CountingBudget budget = new CountingBudget(Integer.MAX_VALUE);
        CommandAssembler assembler = new CommandAssembler(1, 64 << 10, budget);
        assertEquals(0, assemble(assembler, content(0)).body().length);
        Command large = assemble(assembler, content((64 << 10) + 1));
        assertTrue(large.isSkipped());
        assertEquals((64 << 10) + 1, large.bodySize());
        assertEquals(0, budget.peakBytes, "nothing of it was held");
        Command next = assemble(assembler, content(64 << 10));
        assertEquals(64 << 10, next.body().length);
        assertEquals(0, budget.reservedBytes, "everything is given back");
    }

    @Test
    void incompleteBodiesStayWithinTheBudget() throws Exception {
        CountingBudget budget = new CountingBudget(10_000);
        CommandAssembler first = new CommandAssembler(1, 64 << 10, budget);
        CommandAssembler second = new CommandAssembler(2, 64 << 10, budget);
        ByteBuf half = content(9_000);
        assertNull(assemble(first, half.slice(0, half.readableBytes() - 1)));
        assertTrue(assemble(second, content(9_000)).isSkipped());
        assertTrue(budget.peakBytes <= 10_000);
        first.close();
        assertEquals(0, budget.reservedBytes);
        assertFalse(assemble(second, content(9_000)).isSkipped());
    }

    /** Guards against headers of many small fields, which take many times their bytes on the wire. */
    @Test
    void largePropertiesStayWithinTheBudget() throws Exception {
        CountingBudget budget = new CountingBudget(1 << 20);
        Map<String, Object> headers = new LinkedHashMap<>();
        for (int i = 0; i < 1000; i++) {
            headers.put("h" + i, null);
        }
        ByteBuf half = Unpooled.buffer();
        Frame.write(
                half,
                1,
                Method.of(MethodType.BASIC_PUBLISH, "", "k", false, false),
                Properties.NONE.with(Property.HEADERS, headers),
                new byte[9_000],
                FRAME_MAX);
        ByteBuf unended = half.slice(0, half.readableBytes() - 1);
        List<CommandAssembler> assemblers = new ArrayList<>();
        for (int channel = 1; channel <= 100; channel++) {
            CommandAssembler assembler = new CommandAssembler(channel, 64 << 10, budget);
            assembler.add(Frame.next(unended, FRAME_MAX));
            assembler.add(Frame.next(unended, FRAME_MAX));
            unended.readerIndex(0);
            assemblers.add(assembler);
        }
        assertTrue(budget.peakBytes > 100_000 && budget.peakBytes <= 1 << 20, "peak: " + budget.peakBytes);
        assemblers.forEach(CommandAssembler::close);
        assertEquals(0, budget.reservedBytes);
    }

    private static int replyCode(int... bytes) {
        ByteBuf in = Unpooled.buffer();
        for (int one : bytes) {
            in.writeByte(one);
        }
        return assertThrows(AmqpException.class, () -> {
                    Frame frame = Frame.next(in, FRAME_MAX);
                    assertNotNull(frame, "more is awaited");
                    new CommandAssembler(1, 100, new CountingBudget(100)).add(frame);
                })
                .code();
    }

    @Test
    void invalidFramesAreRejectedImmediately() {
        assertEquals(AmqpException.FRAME_ERROR, replyCode(4), "a type that there is not, from its first byte on");
        assertEquals(AmqpException.FRAME_ERROR, replyCode('A', 'M', 'Q', 'P'));
        assertEquals(AmqpException.FRAME_ERROR, replyCode(1, 0, 1, 0x7f, 0xff, 0xff, 0xff), "larger than agreed on");
        assertEquals(
                AmqpException.FRAME_ERROR, replyCode(1, 0, 1, 0xff, 0xff, 0xff, 0xff), "a length that looks negative");
        assertEquals(AmqpException.FRAME_ERROR, replyCode(1, 0, 1, 0, 0, 0, 1, 9, 9), "no end octet");
        assertEquals(AmqpException.SYNTAX_ERROR, replyCode(1, 0, 1, 0, 0, 0, 1, 9, 0xCE), "no method's numbers");
        assertEquals(AmqpException.NOT_IMPLEMENTED, replyCode(1, 0, 1, 0, 0, 0, 4, 0, 90, 0, 10, 0xCE), "tx.select");
        assertEquals(
                AmqpException.UNEXPECTED_FRAME,
                replyCode(2, 0, 1, 0, 0, 0, 14, 0, 60, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0xCE),
                "a header ahead of its method");
        assertEquals(
                AmqpException.UNEXPECTED_FRAME, replyCode(3, 0, 1, 0, 0, 0, 1, 1, 0xCE), "a body ahead of its header");
    }

    @Test
    void methodWithinContentAndOversizedBodyAreRejected() throws Exception {
        CommandAssembler assembler = new CommandAssembler(1, 100, new CountingBudget(100));
        ByteBuf half = content(50);
        Frame method = Frame.next(half, FRAME_MAX);
        assembler.add(method);
        method.payload().readerIndex(0);
        assertEquals(
                AmqpException.UNEXPECTED_FRAME,
                assertThrows(AmqpException.class, () -> assembler.add(method)).code());
        assembler.add(Frame.next(half, FRAME_MAX));
        Frame body = new Frame(Frame.Type.BODY, 1, Unpooled.wrappedBuffer(new byte[51]));
        assertEquals(
                AmqpException.UNEXPECTED_FRAME,
                assertThrows(AmqpException.class, () -> assembler.add(body)).code());
    }

    /** A short run; {@link Fuzz} is the command for longer ones. */
    @Test
    void corruptedBytesOnlyCauseProtocolErrors() {
        Fuzz.Tally tally = Fuzz.run(20_000, 1);
        assertEquals(0, tally.crashes(), tally.firstCrash());
        assertTrue(tally.rejected() > 1_000 && tally.commandsRead() > 1_000, tally.toString());
    }
}
