package firstage.emulator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.random.RandomGenerator;

/**
 * What lies between the parties: each pair has an address of its own here, so that each direction
 * of each pair can be cut, delayed or made lossy by itself. One thread of its own. A connection to
 * a party that is gone is refused; to one that is silent or cut off it never comes up (a listener
 * whose line is full, as the kernel drops what comes then).
 */
public final class FaultInjectingProxy implements AutoCloseable {
    private static final int BACKLOG = 256;
    private static final int PIECE = 16 * 1024;

    /** A source that is so far ahead is not read on: its own window must fill. */
    private static final int MOST_QUEUED = 64;

    /** Into the line of a listener that takes one, and none is accepted: it holds two. */
    private static final int FILLERS = 4;

    private final Selector selector;
    private final RandomGenerator chance;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Timed> timers =
            new PriorityQueue<>(Comparator.comparingLong(t -> t.due));
    private final ByteBuffer shared = ByteBuffer.allocateDirect(PIECE);
    private final List<Door> doors = new ArrayList<>();
    private final Thread thread;
    private volatile boolean closed;
    private volatile Exception fault;

    private record Timed(long due, Runnable what) {}

    /** How a door answers. */
    public enum Answer {
        OPEN,
        REFUSES,
        SILENT
    }

    public FaultInjectingProxy(RandomGenerator chance) throws IOException {
        this.chance = chance;
        selector = Selector.open();
        thread = new Thread(this::loop, "relay");
        thread.setDaemon(true);
    }

    public void start() {
        thread.start();
    }

    /** A new direction between two parties; before the start. */
    public LinkFaults way() {
        return new LinkFaults(chance);
    }

    private static long now() {
        return System.nanoTime() / 100_000;
    }

    /** On this thread, soon. */
    private void soon(Runnable what) {
        tasks.add(what);
        selector.wakeup();
    }

    private void after(long delay, Runnable what) {
        timers.add(new Timed(now() + delay, what));
    }

    private void loop() {
        while (!closed) {
            try {
                long wait = timers.isEmpty() ? 100 : Math.max(0, (timers.peek().due - now()) / 10);
                if (wait > 0) {
                    selector.select(wait);
                } else {
                    selector.selectNow();
                }
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                while (!timers.isEmpty() && timers.peek().due <= now()) {
                    timers.poll().what.run();
                }
                Set<SelectionKey> ready = selector.selectedKeys();
                for (SelectionKey key : List.copyOf(ready)) {
                    ((Ready) key.attachment()).ready(key);
                }
                ready.clear();
            } catch (CancelledKeyException gone) {
                selector.selectedKeys().clear();
            } catch (IOException | RuntimeException over) {
                // Nothing is carried from here on: whatever the run shows, it shows of this.
                fault = over;
                return;
            }
        }
    }

    /** What ended it before its time; null if nothing did. */
    public Exception fault() {
        return fault;
    }

    private interface Ready {
        void ready(SelectionKey key) throws IOException;
    }

    private static void quietly(AutoCloseable c) {
        try {
            if (c != null) {
                c.close();
            }
        } catch (Exception nothingToDo) {
            // It is gone either way.
        }
    }

    /** An address at which one party reaches another. */
    public final class Door {
        private final InetSocketAddress at;
        private final InetSocketAddress onward;
        private final LinkFaults there;
        private final LinkFaults back;
        private final Set<Pair> pairs = new HashSet<>();
        private final List<SocketChannel> fillers = new ArrayList<>();
        private ServerSocketChannel listener;
        private Answer answer = Answer.REFUSES;
        private Answer told = Answer.OPEN;

        private Door(
                InetSocketAddress at, InetSocketAddress onward, LinkFaults there, LinkFaults back) {
            this.at = at;
            this.onward = onward;
            this.there = there;
            this.back = back;
        }

        /** How the party behind it stands; {@code resets} what is open, as a dying process does. */
        public void answers(Answer next, boolean resets) {
            soon(
                    () -> {
                        told = next;
                        if (resets) {
                            List.copyOf(pairs).forEach(Pair::reset);
                        }
                        settle();
                    });
        }

        /** A way was cut or healed. */
        public void changed() {
            soon(
                    () -> {
                        settle();
                        List.copyOf(pairs).forEach(Pair::go);
                    });
        }

        private void settle() {
            boolean cut = there.isCut() || back.isCut();
            Answer next = told == Answer.OPEN && cut ? Answer.SILENT : told;
            if (next != answer) {
                close();
                answer = next;
                try {
                    listen();
                } catch (IOException fault) {
                    throw new IllegalStateException("can't listen at " + at, fault);
                }
            }
        }

        private void listen() throws IOException {
            if (answer == Answer.REFUSES) {
                return;
            }
            listener = ServerSocketChannel.open();
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(at, answer == Answer.OPEN ? BACKLOG : 1);
            listener.configureBlocking(false);
            if (answer == Answer.OPEN) {
                listener.register(selector, SelectionKey.OP_ACCEPT, (Ready) key -> accept());
            } else {
                for (int i = 0; i < FILLERS; i++) {
                    SocketChannel filler = SocketChannel.open();
                    filler.configureBlocking(false);
                    filler.connect(at);
                    fillers.add(filler);
                }
            }
        }

        private void close() {
            quietly(listener);
            listener = null;
            fillers.forEach(FaultInjectingProxy::quietly);
            fillers.clear();
            try {
                // What is closed goes only once its key is gone.
                selector.selectNow();
            } catch (IOException fault) {
                throw new IllegalStateException(fault);
            }
        }

        private void accept() throws IOException {
            for (SocketChannel c = listener == null ? null : listener.accept();
                    c != null;
                    c = listener.accept()) {
                new Pair(this, c);
            }
        }
    }

    /** A connection through a door. */
    private final class Pair {
        private final Door door;
        private final SocketChannel near;
        private final SocketChannel far;
        private final Flow there;
        private final Flow back;
        private boolean up;
        private boolean over;

        private Pair(Door door, SocketChannel near) throws IOException {
            this.door = door;
            this.near = near;
            near.configureBlocking(false);
            near.setOption(StandardSocketOptions.TCP_NODELAY, true);
            far = SocketChannel.open();
            far.configureBlocking(false);
            far.setOption(StandardSocketOptions.TCP_NODELAY, true);
            there = new Flow(this, near, far, door.there);
            back = new Flow(this, far, near, door.back);
            door.pairs.add(this);
            near.register(selector, 0, (Ready) this::ready);
            far.register(selector, SelectionKey.OP_CONNECT, (Ready) this::ready);
            far.connect(door.onward);
        }

        private void ready(SelectionKey key) {
            try {
                if (key.channel() == far && !up) {
                    far.finishConnect();
                    up = true;
                } else if (key.isReadable()) {
                    (key.channel() == near ? there : back).read();
                }
                go();
            } catch (IOException | CancelledKeyException fault) {
                reset();
            }
        }

        /** Writes what may be written and says what is wanted next. */
        private void go() {
            if (over || !up) {
                return;
            }
            try {
                there.write();
                back.write();
                if (there.ended && back.ended) {
                    end();
                    return;
                }
                near.keyFor(selector).interestOps(there.wantsRead() | back.wantsWrite());
                far.keyFor(selector).interestOps(back.wantsRead() | there.wantsWrite());
            } catch (IOException | CancelledKeyException fault) {
                reset();
            }
        }

        private void reset() {
            if (!over) {
                try {
                    near.setOption(StandardSocketOptions.SO_LINGER, 0);
                    far.setOption(StandardSocketOptions.SO_LINGER, 0);
                } catch (IOException gone) {
                    // Then there is nobody to be told.
                }
                end();
            }
        }

        private void end() {
            over = true;
            door.pairs.remove(this);
            quietly(near);
            quietly(far);
        }
    }

    /** One direction of a connection. */
    private final class Flow {
        private record Chunk(long due, ByteBuffer bytes) {}

        private final Pair pair;
        private final SocketChannel from;
        private final SocketChannel to;
        private final LinkFaults way;
        private final ArrayDeque<Chunk> queue = new ArrayDeque<>();
        private long latest;
        private boolean eof;
        private boolean ended;
        private boolean full;

        private Flow(Pair pair, SocketChannel from, SocketChannel to, LinkFaults way) {
            this.pair = pair;
            this.from = from;
            this.to = to;
            this.way = way;
        }

        private void read() throws IOException {
            shared.clear();
            int n = from.read(shared);
            if (n < 0) {
                eof = true;
            } else if (n > 0) {
                ByteBuffer copy = ByteBuffer.allocate(n).put(shared.flip()).flip();
                long due = Math.max(latest, now() + way.later(false));
                latest = due;
                queue.add(new Chunk(due, copy));
                if (due > now()) {
                    after(due - now(), pair::go);
                }
            }
        }

        private void write() throws IOException {
            full = false;
            while (!queue.isEmpty() && !way.isCut() && queue.peek().due <= now()) {
                ByteBuffer next = queue.peek().bytes;
                to.write(next);
                if (next.hasRemaining()) {
                    full = true;
                    return;
                }
                queue.poll();
            }
            if (eof && queue.isEmpty() && !ended && !way.isCut()) {
                ended = true;
                to.shutdownOutput();
            }
        }

        private int wantsRead() {
            return !eof && queue.size() < MOST_QUEUED ? SelectionKey.OP_READ : 0;
        }

        private int wantsWrite() {
            return full ? SelectionKey.OP_WRITE : 0;
        }
    }

    /** Connections made at {@code at} go on to {@code onward}. It answers at once. */
    public Door door(
            InetSocketAddress at, InetSocketAddress onward, LinkFaults there, LinkFaults back) {
        Door door = new Door(at, onward, there, back);
        doors.add(door);
        soon(door::settle);
        return door;
    }

    /**
     * Datagrams between two parties: {@code first} reaches the second at {@code atFirst}, and is
     * seen by it as coming from {@code atSecond}, where the second reaches the first.
     */
    public void mail(
            InetSocketAddress first,
            InetSocketAddress second,
            InetSocketAddress atFirst,
            InetSocketAddress atSecond,
            LinkFaults there,
            LinkFaults back)
            throws IOException {
        DatagramChannel one = DatagramChannel.open().bind(atFirst);
        DatagramChannel two = DatagramChannel.open().bind(atSecond);
        one.configureBlocking(false);
        two.configureBlocking(false);
        soon(
                () -> {
                    carry(one, two, second, there);
                    carry(two, one, first, back);
                });
    }

    private void carry(DatagramChannel in, DatagramChannel out, SocketAddress to, LinkFaults way) {
        try {
            in.register(
                    selector,
                    SelectionKey.OP_READ,
                    (Ready)
                            key -> {
                                shared.clear();
                                for (SocketAddress from = receive(in);
                                        from != null;
                                        from = receive(in)) {
                                    shared.flip();
                                    if (way.passes()) {
                                        ByteBuffer copy =
                                                ByteBuffer.allocate(shared.remaining())
                                                        .put(shared)
                                                        .flip();
                                        long later = way.later(true);
                                        if (later > 0) {
                                            after(later, () -> send(out, copy, to));
                                        } else {
                                            send(out, copy, to);
                                        }
                                    }
                                    shared.clear();
                                }
                            });
        } catch (IOException fault) {
            throw new IllegalStateException(fault);
        }
    }

    private SocketAddress receive(DatagramChannel in) throws IOException {
        try {
            return in.receive(shared);
        } catch (java.net.PortUnreachableException nobody) {
            return null;
        }
    }

    private void send(DatagramChannel out, ByteBuffer bytes, SocketAddress to) {
        try {
            out.send(bytes, to);
        } catch (IOException nobody) {
            // As on any network.
        }
    }

    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join(1_000);
        } catch (InterruptedException fault) {
            Thread.currentThread().interrupt();
        }
        for (SelectionKey key : selector.keys()) {
            quietly(key.channel());
        }
        doors.forEach(d -> d.fillers.forEach(FaultInjectingProxy::quietly));
        quietly(selector);
    }
}
