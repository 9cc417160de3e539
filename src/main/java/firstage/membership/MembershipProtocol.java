package firstage.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import net.openhft.hashing.LongHashFunction;

/**
 * One manager's knowledge of the others, by probing in turn (SWIM), a doubt that can be denied
 * before it counts, and care about itself first (Lifeguard): who is slow, was stopped or hears
 * nobody judges nobody. A doubt takes a member out of the view at once, so that nothing new is
 * shared with it; gone for good it is only after a silence longer than any pause that is borne.
 * Times are tenths of a millisecond of a clock that only goes forward.
 */
public final class MembershipProtocol {
    // ---- Constants: unit, and why this size. Times are in tenths of a millisecond.
    private static final int HELPERS =
            3; // asked to probe in our place: one cut way or one lost message is borne
    private static final long ACK_PART =
            4; // of a period until helpers are asked: many times a way there and back
    private static final int MOST_STRAIN =
            6; // of our own slowness: probes wait up to so many times longer
    private static final long GONE_AFTER =
            45_000; // of a doubt not denied: pauses of 3 s and 20% loss are borne
    private static final long SETTLE =
            2_500; // without a change before a view is made: a zone dies in one view
    private static final long SETTLE_MOST =
            8_000; // but no longer: a view must come while members flap, too
    private static final long PAUSED =
            4_000; // between two ticks: we were stopped; two probe periods
    private static final long ALONE =
            10_000; // without any answer: it is we who are cut off, and judge nobody
    private static final long UNHEARD =
            12_000; // by one way while others vouch: six periods, loss alone is borne
    private static final double FLAP_FREE =
            2; // returns that cost nothing: a restart and a chance doubt
    private static final long FLAP_STEP =
            5_000; // held out of the view after the third return, doubled with each
    private static final long FLAP_MOST = 300_000; // but no longer
    private static final long FLAP_FADE = 300_000; // in which half of the returns is forgotten
    private static final int TELLINGS = 4; // times the logarithm of the fleet that a rumour is told
    private static final long SYNC_EVERY =
            100_000; // tells all to one: what rumours missed comes within this
    private static final int LOST_PROBE =
            3; // periods between probes of one that is gone: cut halves find each other
    private static final int MOST_MEMBERS = 2_048; // invented names must not fill the memory
    private static final int MOST_RUMOURS = 4_096; // pending at once: bounded against the same
    private static final int FIRST =
            32; // addresses asked at a start: enough to be known, no burst on a large fleet
    private static final int MOST_PENDING = 256; // probes out, ours and for others

    private enum Event {
        UNANSWERED,
        DOUBT_TOLD,
        GONE_TOLD,
        LEFT_TOLD,
        NEWER_HERE,
        TIMED
    }

    private enum Effect {
        NONE,
        TELL,
        DOUBT,
        RETURN
    }

    private record Row(MemberState state, Event event, MemberState next, Effect effect) {}

    /**
     * State, event, next state, effect; what is not here changes nothing. Events that are told
     * carry no older life.
     */
    private static final Row[] TABLE = {
        new Row(MemberState.HERE, Event.UNANSWERED, MemberState.DOUBTED, Effect.DOUBT),
        new Row(MemberState.HERE, Event.DOUBT_TOLD, MemberState.DOUBTED, Effect.DOUBT),
        new Row(MemberState.HERE, Event.GONE_TOLD, MemberState.GONE, Effect.TELL),
        new Row(MemberState.HERE, Event.LEFT_TOLD, MemberState.LEFT, Effect.TELL),
        new Row(MemberState.HERE, Event.NEWER_HERE, MemberState.HERE, Effect.TELL),
        new Row(MemberState.DOUBTED, Event.DOUBT_TOLD, MemberState.DOUBTED, Effect.DOUBT),
        new Row(MemberState.DOUBTED, Event.GONE_TOLD, MemberState.GONE, Effect.TELL),
        new Row(MemberState.DOUBTED, Event.LEFT_TOLD, MemberState.LEFT, Effect.TELL),
        new Row(MemberState.DOUBTED, Event.NEWER_HERE, MemberState.HERE, Effect.RETURN),
        new Row(MemberState.DOUBTED, Event.TIMED, MemberState.GONE, Effect.TELL),
        new Row(MemberState.GONE, Event.LEFT_TOLD, MemberState.LEFT, Effect.TELL),
        new Row(MemberState.GONE, Event.NEWER_HERE, MemberState.HERE, Effect.RETURN),
        new Row(MemberState.LEFT, Event.NEWER_HERE, MemberState.HERE, Effect.RETURN),
    };

    /** Carries the effects out; none of them calls back before it returns. */
    public interface Carrier {
        /**
         * To the peer at this place of the seeds; {@code kind}: of the message, for what counts
         * them.
         */
        void send(int seed, MembershipMessage.Kind kind, byte[] datagram);

        /** A new view is in force. */
        void changed(long now, MembershipView view);

        /** A line for the log: what, of whom, and why. */
        void note(long now, String what, String who, String why);

        /** What the rooms above tell with each message, and what they are told by a member. */
        byte[] digest(long now);

        void digested(long now, String from, byte[] digest);
    }

    /** Faults put back one at a time: a test that does not find them proves nothing. */
    public enum Fault {
        NONE,
        DENIAL_IGNORED,
        OLDER_LIFE_WINS,
        HOLD_DOWN_OFF,
        PAUSE_UNSEEN,
        NO_HELPERS,
        ALONE_JUDGES
    }

    /** What is known of one other. */
    private static final class Peer {
        private Member is;
        private int seed = -1;
        private long heardAt = Long.MIN_VALUE / 4;
        private long vouchedAt = Long.MIN_VALUE / 4;
        private long hearsUsAgo = -1;
        private long view;
        private long hash;
        private long doubtedAt;
        private double flaps;
        private long flapsAt;
        private long outUntil;
        private List<String> unheard = List.of();
    }

    private static final class Rumour {
        private final String name;
        private int told;

        private Rumour(String name) {
            this.name = name;
        }
    }

    /** A probe that is out: ours of a target, or one in place of another. */
    private static final class Probe {
        private final long seq;
        private final String target;
        private final int seed;
        private final long sent;
        private final String asker;
        private final long askerSeq;
        private boolean helped;

        private Probe(long seq, String target, int seed, long sent, String asker, long askerSeq) {
            this.seq = seq;
            this.target = target;
            this.seed = seed;
            this.sent = sent;
            this.asker = asker;
            this.askerSeq = askerSeq;
        }
    }

    private final String fleet;
    private final Carrier carrier;
    private final RandomGenerator chance;
    private final MessageCodec codec;
    private final long period;
    private final int seeds;
    private final Fault fault;
    private final QuotaLeases leases;
    private Member me;
    private final TreeMap<String, Peer> peers = new TreeMap<>();

    /** By place of the seeds, who answered there last. */
    private final String[] atSeed;

    private final ArrayDeque<Rumour> rumours = new ArrayDeque<>();
    private final Map<String, Rumour> rumoured = new HashMap<>();
    private final Map<Long, Probe> probes = new LinkedHashMap<>();
    private final PriorityQueue<Map.Entry<Long, String>> doubts =
            new PriorityQueue<>(Comparator.comparingLong(Map.Entry::getKey));
    private final Map<String, Long> refused = new TreeMap<>();
    private final ArrayDeque<String> order = new ArrayDeque<>();
    private MembershipView view;
    private long nextSeq;
    private long nextProbe;
    private long nextSync;
    private long periods;
    private int strain;
    private long tickedAt = -1;
    private long answeredAt;
    private long changedSince = -1;
    private long changedAt;
    private boolean leaving;

    /**
     * {@code me} with a standing of HERE; {@code seeds}: how many addresses peers may be at; {@code
     * period} between two probes. {@code leases} keeps who may use which part.
     */
    public MembershipProtocol(
            String fleet,
            Member me,
            int seeds,
            long period,
            int most,
            RandomGenerator chance,
            QuotaLeases leases,
            Carrier carrier,
            Fault fault) {
        this.fleet = fleet;
        this.me = me;
        this.seeds = seeds;
        this.period = period;
        this.chance = chance;
        this.carrier = carrier;
        this.fault = fault;
        this.leases = leases;
        codec = new MessageCodec(most);
        atSeed = new String[seeds];
        view = new MembershipView(0, hash(List.of(me.name())), List.of(me.name()));
    }

    // ---- What is asked of it.
    public MembershipView view() {
        return view;
    }

    public String name() {
        return me.name();
    }

    /** All that is known, this manager first. */
    public List<Member> entries() {
        List<Member> all = new ArrayList<>(List.of(me));
        peers.values().forEach(p -> all.add(p.is));
        return all;
    }

    /** Whether all that are here say the same view. */
    public boolean agreed() {
        return view.names().stream()
                .filter(n -> !n.equals(me.name()))
                .allMatch(
                        n ->
                                peers.get(n).hash == view.hash()
                                        && peers.get(n).view == view.number());
    }

    /** Of the members of the view, the share heard lately: how sure it may be of itself. */
    public double sure(long now) {
        long others = view.names().size() - 1;
        long heard =
                view.names().stream()
                        .filter(peers::containsKey)
                        .filter(
                                n ->
                                        now - Math.max(peers.get(n).heardAt, peers.get(n).vouchedAt)
                                                < 5 * UNHEARD)
                        .count();
        return now - answeredAt > ALONE ? 0 : others == 0 ? 1 : (double) heard / others;
    }

    /**
     * How the way to a member bears: ok, deaf (we do not hear it), unheard (it does not hear us),
     * cut; none where gone.
     */
    public String link(long now, String name) {
        Peer p = peers.get(name);
        if (p == null
                || p.is.standing() == MemberState.GONE
                || p.is.standing() == MemberState.LEFT) {
            return "none";
        }
        boolean deaf = now - p.heardAt > UNHEARD;
        boolean unheard =
                !deaf && (p.hearsUsAgo < 0 || p.hearsUsAgo > UNHEARD)
                        || p.unheard.contains(me.name());
        return deaf && unheard ? "cut" : deaf ? "deaf" : unheard ? "unheard" : "ok";
    }

    /** Datagrams that changed nothing, by cause. */
    public Map<String, Long> refused() {
        return refused;
    }

    // ---- Time.
    /** To be called each 20 ms or so; a longer gap is taken for a pause of this process. */
    public void tick(long now) {
        boolean paused = tickedAt >= 0 && now - tickedAt > PAUSED && fault != Fault.PAUSE_UNSEEN;
        if (tickedAt < 0) {
            answeredAt = now;
            nextSync = now + period;
            // To all at once, so that a fleet that starts together need not wait for its rounds to
            // come by.
            List<Integer> all = new ArrayList<>();
            for (int s = 0; s < seeds; s++) {
                all.add(s);
            }
            Collections.shuffle(all, new Random(chance.nextLong()));
            all.subList(0, Math.min(seeds, FIRST)).forEach(s -> ping(now, null, s, null, 0));
        }
        if (paused) {
            woke(now, now - tickedAt);
        }
        tickedAt = now;
        expire(now);
        while (!doubts.isEmpty() && doubts.peek().getKey() <= now) {
            Map.Entry<Long, String> due = doubts.poll();
            Peer p = peers.get(due.getValue());
            if (p.is.standing() == MemberState.DOUBTED && p.doubtedAt + GONE_AFTER <= now) {
                if (alone(now)) {
                    // Nobody answers: it is this manager that is cut off.
                    doubt(now, p);
                } else {
                    on(now, p, Event.TIMED, p.is.with(MemberState.GONE), "not heard of again");
                }
            }
        }
        if (now >= nextProbe) {
            nextProbe = now + period;
            probe(now);
        }
        if (now >= nextSync && !leaving) {
            nextSync = now + SYNC_EVERY / 2 + chance.nextLong(SYNC_EVERY);
            sync(now);
        }
        settle(now);
    }

    /**
     * This process was stopped, or the machine had no time for it. Others may have left, and may
     * hold it for gone; all that it has out is answered late through its own fault. It judges
     * nobody by what is from before, and denies at once what may have been said of it.
     */
    private void woke(long now, long gap) {
        probes.clear();
        strain = MOST_STRAIN;
        answeredAt = Math.min(answeredAt, now - ALONE - 1);
        for (Peer p : peers.values()) {
            p.heardAt += gap;
        }
        doubts.clear();
        peers.values().stream()
                .filter(p -> p.is.standing() == MemberState.DOUBTED)
                .forEach(p -> doubt(now, p));
        me = me.with(me.incarnation() + 1, me.standing());
        rumour(me.name());
        carrier.note(now, "woke", me.name(), "stopped for " + gap / 10 + " ms");
        // Once to each of some: who doubts this manager hears of it before the doubt counts.
        somebody(now, HELPERS, null).forEach(p -> ping(now, p.is.name(), p.seed, null, 0));
    }

    private boolean alone(long now) {
        return now - answeredAt > ALONE && fault != Fault.ALONE_JUDGES;
    }

    private long patience() {
        return period * (1 + strain) / ACK_PART;
    }

    private void expire(long now) {
        for (Probe p : List.copyOf(probes.values())) {
            if (p.asker != null || p.target == null) {
                if (now - p.sent > 4 * period) {
                    probes.remove(p.seq);
                }
                continue;
            }
            Peer of = peers.get(p.target);
            if (!p.helped && now - p.sent > patience()) {
                p.helped = true;
                if (fault != Fault.NO_HELPERS) {
                    for (Peer helper : somebody(now, HELPERS, p.target)) {
                        send(
                                now,
                                helper.seed,
                                message(now, helper, MembershipMessage.Kind.ASK, p.seq, p.target));
                    }
                }
            } else if (p.helped && now - p.sent > 3 * patience() + period / 2) {
                probes.remove(p.seq);
                strain = Math.min(MOST_STRAIN, strain + (alone(now) ? 1 : 0));
                boolean heardSince = Math.max(of.heardAt, of.vouchedAt) > p.sent;
                if (!alone(now) && !heardSince) {
                    on(
                            now,
                            of,
                            Event.UNANSWERED,
                            of.is.with(MemberState.DOUBTED),
                            "no answer, nor to " + HELPERS + " others");
                }
            }
        }
    }

    // ---- Probing.
    private List<Peer> here() {
        return peers.values().stream()
                .filter(p -> p.is.standing() == MemberState.HERE && p.seed >= 0)
                .toList();
    }

    private List<Peer> somebody(long now, int count, String but) {
        List<Peer> from =
                new ArrayList<>(here().stream().filter(p -> !p.is.name().equals(but)).toList());
        List<Peer> some = new ArrayList<>();
        while (some.size() < count && !from.isEmpty()) {
            some.add(from.remove(chance.nextInt(from.size())));
        }
        return some;
    }

    private void probe(long now) {
        if (leaving) {
            return;
        }
        periods++;
        Peer target = next();
        if (target != null) {
            ping(now, target.is.name(), target.seed, null, 0);
        }
        if (target == null || periods % LOST_PROBE == 0) {
            // Addresses at which nobody is known to be, and those of who is gone, in turn by
            // chance.
            List<Integer> silent = new ArrayList<>();
            for (int s = 0; s < seeds; s++) {
                Peer at = atSeed[s] == null ? null : peers.get(atSeed[s]);
                if (at == null
                        || at.is.standing() == MemberState.GONE
                        || at.is.standing() == MemberState.LEFT) {
                    silent.add(s);
                }
            }
            for (int i = 0; i < (target == null ? 3 : 1) && !silent.isEmpty(); i++) {
                int s = silent.remove(chance.nextInt(silent.size()));
                ping(
                        now,
                        atSeed[s] == null || peers.get(atSeed[s]) == null ? null : atSeed[s],
                        s,
                        null,
                        0);
            }
        }
    }

    /** In turn through a shuffled order: each is probed within two rounds, whatever chance does. */
    private Peer next() {
        for (int round = 0; round < 2; round++) {
            while (!order.isEmpty()) {
                Peer p = peers.get(order.poll());
                if (p != null
                        && p.seed >= 0
                        && (p.is.standing() == MemberState.HERE
                                || p.is.standing() == MemberState.DOUBTED)) {
                    return p;
                }
            }
            List<String> names = new ArrayList<>(peers.keySet());
            Collections.shuffle(names, new Random(chance.nextLong()));
            order.addAll(names);
        }
        return null;
    }

    private void ping(long now, String target, int seed, String asker, long askerSeq) {
        if (probes.size() >= MOST_PENDING) {
            return;
        }
        Probe p = new Probe(++nextSeq, target, seed, now, asker, askerSeq);
        Peer of = target == null ? null : peers.get(target);
        boolean judged =
                of != null
                        && (of.is.standing() == MemberState.HERE
                                || of.is.standing() == MemberState.DOUBTED);
        probes.put(p.seq, judged || asker != null ? p : new Probe(p.seq, null, seed, now, null, 0));
        send(
                now,
                seed,
                message(now, of, MembershipMessage.Kind.PING, p.seq, target == null ? "" : target));
    }

    private void sync(long now) {
        List<Peer> one = somebody(now, 1, null);
        if (!one.isEmpty()) {
            tellAll(now, one.get(0), MembershipMessage.Kind.SYNC);
        }
    }

    /** All that is known, in as many datagrams as it takes. */
    private void tellAll(long now, Peer to, MembershipMessage.Kind kind) {
        List<Member> all = entries();
        int room = codec.room(carrier.digest(now).length);
        for (int from = 0; from < all.size(); from += room) {
            MembershipMessage m = message(now, to, kind, 0, "");
            send(
                    now,
                    to.seed,
                    new MembershipMessage(
                            m.fleet(),
                            m.from(),
                            m.incarnation(),
                            m.kind(),
                            m.seq(),
                            m.target(),
                            m.view(),
                            m.hash(),
                            m.heardAgo(),
                            false,
                            m.lent(),
                            m.unheard(),
                            all.subList(from, Math.min(all.size(), from + room)),
                            m.digest()));
        }
    }

    // ---- Messages.
    private MembershipMessage message(
            long now, Peer to, MembershipMessage.Kind kind, long seq, String target) {
        long ago = to == null || to.heardAt < 0 ? -1 : Math.max(0, now - to.heardAt);
        byte[] digest = carrier.digest(now);
        List<Member> told = new ArrayList<>(List.of(me));
        if (to != null && to.is.standing() != MemberState.HERE) {
            // Whoever is doubted is told so first: it can deny it in its next word.
            told.add(to.is);
        }
        int most = (int) Math.ceil(TELLINGS * Math.log(peers.size() + 2.0) / Math.log(2));
        int room = codec.room(digest.length) - told.size();
        for (int i = 0; i < room && i < rumours.size() && !rumours.isEmpty(); i++) {
            Rumour r = rumours.poll();
            Peer of = peers.get(r.name);
            Member entry = of == null ? me : of.is;
            if (!told.contains(entry)) {
                told.add(entry);
            }
            if (++r.told < most) {
                rumours.add(r);
            } else {
                rumoured.remove(r.name, r);
            }
        }
        boolean grants =
                kind == MembershipMessage.Kind.ACK
                        && to != null
                        && leases.grants(now, to.is.name());
        return new MembershipMessage(
                fleet,
                me.name(),
                me.incarnation(),
                kind,
                seq,
                target,
                view.number(),
                view.hash(),
                ago,
                grants,
                kind == MembershipMessage.Kind.ACK ? leases.lent(now) : List.of(),
                unheard(now),
                told,
                digest);
    }

    private List<String> unheard(long now) {
        List<String> names = new ArrayList<>();
        for (Peer p : peers.values()) {
            if (p.is.standing() == MemberState.HERE
                    && now - p.heardAt > UNHEARD
                    && now - p.vouchedAt < UNHEARD
                    && names.size() < 8) {
                names.add(p.is.name());
            }
        }
        return names;
    }

    private void send(long now, int seed, MembershipMessage m) {
        if (seed >= 0) {
            carrier.send(seed, m.kind(), codec.write(m));
        }
    }

    private void rumour(String name) {
        Rumour old = rumoured.remove(name);
        if (old != null) {
            rumours.remove(old);
        }
        if (rumours.size() < MOST_RUMOURS) {
            Rumour fresh = new Rumour(name);
            rumours.addFirst(fresh);
            rumoured.put(name, fresh);
        }
    }

    private void refuse(String why) {
        refused.merge(why, 1L, Long::sum);
    }

    /**
     * A datagram that came from the address at this place of the seeds; from any other, the carrier
     * drops it.
     */
    public void received(long now, int seed, byte[] bytes) {
        MembershipMessage m;
        try {
            m = codec.read(bytes);
        } catch (MessageCodec.Unusable fault) {
            refuse(fault.getMessage());
            return;
        }
        if (!m.fleet().equals(fleet)) {
            refuse("another fleet");
            return;
        }
        if (m.from().equals(me.name())) {
            refuse("our own name");
            return;
        }
        Peer p = peers.get(m.from());
        if (p != null && m.incarnation() < p.is.incarnation()) {
            refuse("an older life");
            if (now - p.heardAt > period && p.seed == seed && p.is.standing() != MemberState.LEFT) {
                // A clock set back gives a restart an older life: it learns by this and goes
                // beyond.
                send(now, seed, message(now, p, MembershipMessage.Kind.VOUCH, 0, m.from()));
            }
            return;
        }
        if (p != null
                && p.seed >= 0
                && p.seed != seed
                && p.is.standing() == MemberState.HERE
                && now - p.heardAt < UNHEARD) {
            refuse("two of one name");
            carrier.note(
                    now, "doubled", m.from(), "two managers have this name; give each its own");
            return;
        }
        if (p == null) {
            p = learn(now, new Member(m.from(), "", m.incarnation(), MemberState.HERE, "", 1));
            if (p == null) {
                return;
            }
        }
        boolean wasLost = p.is.standing() == MemberState.GONE;
        p.seed = seed;
        atSeed[seed] = m.from();
        p.heardAt = now;
        p.hearsUsAgo = m.heardAgo();
        p.view = m.view();
        p.hash = m.hash();
        p.unheard = m.unheard();
        m.entries().forEach(e -> told(now, e));
        if (wasLost && p.is.standing() == MemberState.HERE) {
            // Two halves that were cut from each other meet: all that either knows is told at once.
            tellAll(now, p, MembershipMessage.Kind.SYNC);
        }
        carrier.digested(now, m.from(), m.digest());
        switch (m.kind()) {
            case PING ->
                    send(now, seed, message(now, p, MembershipMessage.Kind.ACK, m.seq(), m.from()));
            case ACK -> acked(now, p, m);
            case ASK -> {
                Peer target = peers.get(m.target());
                if (target != null && target.seed >= 0) {
                    ping(now, m.target(), target.seed, m.from(), m.seq());
                }
            }
            case VOUCH -> {
                Probe mine = probes.get(m.seq());
                Peer target = peers.get(m.target());
                if (mine != null && target != null && m.target().equals(mine.target)) {
                    target.vouchedAt = now;
                    probes.remove(m.seq());
                }
            }
            case SYNC -> tellAll(now, p, MembershipMessage.Kind.SYNC_BACK);
            case SYNC_BACK -> {}
        }
        if (m.view() > view.number() && m.hash() == view.hash()) {
            view = new MembershipView(m.view(), view.hash(), view.names());
        }
    }

    private void acked(long now, Peer p, MembershipMessage m) {
        Probe mine = probes.remove(m.seq());
        if (mine == null) {
            refuse("an answer to nothing");
            return;
        }
        answeredAt = now;
        strain = Math.max(0, strain - 1);
        leases.answered(now, mine.sent, p.is.name(), m.grants(), m.lent());
        Peer asker = mine.asker == null ? null : peers.get(mine.asker);
        if (asker != null) {
            send(
                    now,
                    asker.seed,
                    message(now, asker, MembershipMessage.Kind.VOUCH, mine.askerSeq, m.from()));
        }
    }

    // ---- What is told of members.
    private Peer learn(long now, Member e) {
        if (peers.size() >= MOST_MEMBERS) {
            refuse("too many members");
            return null;
        }
        Peer p = new Peer();
        p.is = e;
        peers.put(e.name(), p);
        if (e.standing() == MemberState.DOUBTED) {
            doubt(now, p);
        }
        rumour(e.name());
        stirred(now);
        carrier.note(
                now,
                "joined",
                e.name(),
                "heard of, " + e.standing().name().toLowerCase(java.util.Locale.ROOT));
        return p;
    }

    /** Its time to deny begins, or begins anew. */
    private void doubt(long now, Peer p) {
        p.doubtedAt = now;
        doubts.add(Map.entry(now + GONE_AFTER, p.is.name()));
    }

    private void told(long now, Member e) {
        if (e.name().equals(me.name())) {
            boolean denies =
                    e.standing() != MemberState.HERE
                                    && e.incarnation() >= me.incarnation()
                                    && !leaving
                            || e.incarnation() > me.incarnation();
            if (denies && fault != Fault.DENIAL_IGNORED) {
                me = me.with(e.incarnation() + 1, me.standing());
                strain = Math.min(MOST_STRAIN, strain + 1);
                rumour(me.name());
                carrier.note(
                        now,
                        "denied",
                        me.name(),
                        "was told to be " + e.standing().name().toLowerCase(java.util.Locale.ROOT));
            }
            return;
        }
        Peer p = peers.get(e.name());
        if (p == null) {
            if (e.standing() == MemberState.HERE || e.standing() == MemberState.DOUBTED) {
                learn(now, e);
            }
            return;
        }
        if (!e.overrides(p.is) && fault != Fault.OLDER_LIFE_WINS) {
            if (e.incarnation() == p.is.incarnation()
                    && p.is.zone().isEmpty()
                    && !e.zone().isEmpty()) {
                p.is =
                        new Member(
                                e.name(),
                                e.zone(),
                                e.incarnation(),
                                p.is.standing(),
                                e.version(),
                                e.weight());
            }
            return;
        }
        on(
                now,
                p,
                switch (e.standing()) {
                    case HERE -> Event.NEWER_HERE;
                    case DOUBTED -> Event.DOUBT_TOLD;
                    case GONE -> Event.GONE_TOLD;
                    case LEFT -> Event.LEFT_TOLD;
                },
                e,
                "told");
    }

    private void on(long now, Peer p, Event event, Member e, String why) {
        for (Row row : TABLE) {
            if (row.state == p.is.standing() && row.event == event) {
                MemberState before = p.is.standing();
                p.is = e.with(row.next);
                switch (row.effect) {
                    case NONE -> {}
                    case TELL -> rumour(e.name());
                    case DOUBT -> {
                        doubt(now, p);
                        rumour(e.name());
                    }
                    case RETURN -> {
                        returned(now, p);
                        rumour(e.name());
                    }
                }
                if (before != row.next) {
                    leases.silent(
                            now,
                            e.name(),
                            row.next == MemberState.GONE || row.next == MemberState.LEFT);
                    stirred(now);
                    carrier.note(
                            now, row.next.name().toLowerCase(java.util.Locale.ROOT), e.name(), why);
                }
                return;
            }
        }
    }

    /** Who comes and goes is held out of the view for longer each time; quiet time forgives. */
    private void returned(long now, Peer p) {
        p.flaps = p.flaps * Math.pow(0.5, (double) (now - p.flapsAt) / FLAP_FADE) + 1;
        p.flapsAt = now;
        if (p.flaps > FLAP_FREE && fault != Fault.HOLD_DOWN_OFF) {
            p.outUntil =
                    now
                            + (long)
                                    Math.min(
                                            FLAP_MOST,
                                            FLAP_STEP
                                                    * Math.pow(
                                                            2, Math.min(10, p.flaps - FLAP_FREE)));
        }
    }

    // ---- The view.
    private void stirred(long now) {
        changedSince = changedSince < 0 ? now : changedSince;
        changedAt = now;
    }

    private void settle(long now) {
        boolean held = peers.values().stream().anyMatch(p -> p.outUntil > 0 && p.outUntil <= now);
        if (held) {
            peers.values().forEach(p -> p.outUntil = p.outUntil <= now ? 0 : p.outUntil);
            stirred(now);
        }
        if (changedSince < 0 || now - changedAt < SETTLE && now - changedSince < SETTLE_MOST) {
            return;
        }
        changedSince = -1;
        List<String> names = new ArrayList<>(List.of(me.name()));
        peers.forEach(
                (name, p) -> {
                    if (p.is.standing() == MemberState.HERE && p.outUntil <= now) {
                        names.add(name);
                    }
                });
        Collections.sort(names);
        long hash = hash(names);
        if (hash == view.hash()) {
            return;
        }
        long highest =
                peers.values().stream()
                        .filter(p -> p.hash != hash)
                        .mapToLong(p -> p.view)
                        .max()
                        .orElse(0);
        long same =
                peers.values().stream()
                        .filter(p -> p.hash == hash)
                        .mapToLong(p -> p.view)
                        .max()
                        .orElse(0);
        view =
                new MembershipView(
                        same > Math.max(view.number(), highest)
                                ? same
                                : Math.max(view.number(), highest) + 1,
                        hash,
                        List.copyOf(names));
        carrier.changed(now, view);
    }

    private static long hash(Collection<String> names) {
        return LongHashFunction.xx3().hashChars(String.join(",", names));
    }

    /** SIGTERM: it says so, a few times over; nobody takes it for dead. */
    public void leave(long now) {
        leaving = true;
        me = me.with(me.incarnation() + 1, MemberState.LEFT);
        rumour(me.name());
        for (Peer p : somebody(now, 2 * HELPERS, null)) {
            send(now, p.seed, message(now, p, MembershipMessage.Kind.PING, ++nextSeq, p.is.name()));
        }
    }
}
