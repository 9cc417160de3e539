package firstage.membership;

import static org.assertj.core.api.Assertions.assertThat;

import firstage.simulation.schedule.MembersField;
import firstage.simulation.schedule.MembersFigures;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/**
 * The membership in virtual time: pauses, lost messages, one-sided cuts, deaths together, and
 * faults put back.
 */
class MembersTest {
    private static final long SECOND = 10_000;

    private static MembersField field(int count, Members.Fault fault) {
        MembersField f = new MembersField(count, 7, fault, Leases.Fault.NONE);
        assertThat(f.startAll()).isNotNegative();
        f.pass(5 * SECOND);
        f.changes();
        return f;
    }

    @Test
    void whatIsWantedHoldsAtTwelve() {
        Map<String, Double> figures = MembersFigures.play(12, 2);
        assertThat(figures.get("a killed one doubted everywhere, s, median")).isLessThan(1.0);
        assertThat(figures.get("a killed one doubted everywhere, s, 99th")).isLessThan(2.5);
        assertThat(figures.get("half killed, one view, s, most")).isLessThan(3.0);
        assertThat(figures.get("half killed, views on the way, most")).isLessThanOrEqualTo(3.0);
        assertThat(figures.get("split of 20 s healed, one view, s, most")).isLessThan(3.0);
        assertThat(figures.get("bytes a second and manager")).isLessThan(4_000);
        assertThat(figures.get("never agreed")).isZero();
    }

    @Test
    void pausesUpToOneSecondWithLossTakeNobodyForGone() {
        assertThat(MembersFigures.falselyGone(8, 3, 4, SECOND)).isZero();
    }

    @Test
    void aOneSidedCutOfOnePairLeavesBothMembersAndIsTold() {
        MembersField f = field(6, Members.Fault.NONE);
        f.cut(1, 0, true);
        f.pass(3 * SECOND);
        assertThat(f.falselyGone()).isEmpty();
        assertThat(f.agreed()).isTrue();
        Members zero = f.places().get(0).members();
        Members one = f.places().get(1).members();
        assertThat(zero.link(f.calendar().now(), "m1")).isIn("deaf", "cut");
        assertThat(one.link(f.calendar().now(), "m0")).isIn("unheard", "cut");
        assertThat(zero.link(f.calendar().now(), "m2")).isEqualTo("ok");
        f.pass(20 * SECOND);
        assertThat(f.agreed()).isTrue();
        assertThat(f.falselyGone()).isEmpty();
    }

    @Test
    void withoutHelpersAOneSidedCutTakesALiveOneForDoubted() {
        MembersField f = field(6, Members.Fault.NO_HELPERS);
        f.cut(1, 0, true);
        f.cut(0, 1, true);
        f.pass(6 * SECOND);
        assertThat(f.changes()).isNotEmpty();
    }

    @Test
    void aDoubtThatIsNotDeniedTakesALiveOneForGone() {
        for (Members.Fault fault : List.of(Members.Fault.NONE, Members.Fault.DENIAL_IGNORED)) {
            MembersField f = field(5, fault);
            isolate(f, 2, true);
            f.pass(2 * SECOND);
            isolate(f, 2, false);
            f.pass(20 * SECOND);
            assertThat(f.falselyGone().isEmpty()).isEqualTo(fault == Members.Fault.NONE);
        }
    }

    private static void isolate(MembersField f, int one, boolean is) {
        for (int m = 0; m < f.places().size(); m++) {
            f.cut(one, m, is);
            f.cut(m, one, is);
        }
    }

    @Test
    void whoWasStoppedDoubtsItselfFirst() {
        MembersField good = field(5, Members.Fault.NONE);
        good.places().get(2).pause(8 * SECOND);
        good.pass(8 * SECOND + 200);
        List<Entry> held = good.places().get(2).members().entries();
        assertThat(held).allMatch(e -> e.standing() == Standing.HERE);
        good.pass(5 * SECOND);
        assertThat(good.agreed()).isTrue();
    }

    @Test
    void whoIsCutOffFromAllJudgesNobodyAndWithTheFaultHoldsAllForGone() {
        for (Members.Fault fault : List.of(Members.Fault.NONE, Members.Fault.ALONE_JUDGES)) {
            MembersField f = field(6, fault);
            isolate(f, 0, true);
            f.pass(30 * SECOND);
            long gone =
                    f.places().get(0).members().entries().stream()
                            .filter(e -> e.standing() == Standing.GONE)
                            .count();
            assertThat(gone).isEqualTo(fault == Members.Fault.NONE ? 0 : 5);
            assertThat(f.places().get(0).members().sure(f.calendar().now())).isZero();
        }
    }

    @Test
    void anOlderLifeNeverOverridesANewerOne() {
        for (Members.Fault fault : List.of(Members.Fault.NONE, Members.Fault.OLDER_LIFE_WINS)) {
            MembersField f = field(4, fault);
            Members one = f.places().get(1).members();
            long now = f.calendar().now();
            long life =
                    one.entries().stream()
                            .filter(e -> e.name().equals("m2"))
                            .findFirst()
                            .orElseThrow()
                            .incarnation();
            // m2 repeats what was said of m3 in a life before.
            one.received(
                    now,
                    2,
                    new Codec(1_200)
                            .write(
                                    new Message(
                                            "field",
                                            "m2",
                                            life,
                                            Message.Kind.PING,
                                            1,
                                            "m1",
                                            1,
                                            2,
                                            3,
                                            false,
                                            List.of(),
                                            List.of(),
                                            List.of(
                                                    new Entry(
                                                            "m3", "z1", 5, Standing.GONE, "1", 1)),
                                            new byte[0])));
            assertThat(one.entries())
                    .filteredOn(e -> e.name().equals("m3"))
                    .allMatch(
                            e ->
                                    e.standing()
                                            == (fault == Members.Fault.NONE
                                                    ? Standing.HERE
                                                    : Standing.GONE));
        }
    }

    @Test
    void whoComesAndGoesIsHeldOutForLongerEachTime() {
        int[] changes = new int[2];
        for (int i = 0; i < 2; i++) {
            MembersField f = field(6, i == 0 ? Members.Fault.NONE : Members.Fault.HOLD_DOWN_OFF);
            for (int round = 0; round < 40; round++) {
                boolean cut = round % 2 == 0;
                isolate(f, 0, cut);
                f.pass(3 * SECOND);
            }
            changes[i] = f.places().get(3).views();
        }
        assertThat(changes[0]).isLessThan(changes[1] * 2 / 3);
    }

    @Test
    void spoiltForeignAndOldDatagramsChangeNothing() {
        MembersField f = field(3, Members.Fault.NONE);
        Members one = f.places().get(1).members();
        long now = f.calendar().now();
        byte[] good =
                new Codec(1_200)
                        .write(
                                new Message(
                                        "field",
                                        "m2",
                                        1,
                                        Message.Kind.PING,
                                        9,
                                        "m1",
                                        1,
                                        2,
                                        3,
                                        false,
                                        List.of(),
                                        List.of(),
                                        List.of(new Entry("m0", "z", 99, Standing.GONE, "1", 1)),
                                        new byte[0]));
        byte[] foreign =
                new Codec(1_200)
                        .write(
                                new Message(
                                        "other",
                                        "m2",
                                        now * 2,
                                        Message.Kind.PING,
                                        9,
                                        "m1",
                                        1,
                                        2,
                                        3,
                                        false,
                                        List.of(),
                                        List.of(),
                                        List.of(),
                                        new byte[0]));
        RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(1);
        one.received(now, 2, good);
        one.received(now, 2, foreign);
        one.received(now, 2, new byte[2_000]);
        for (int i = 0; i < 20_000; i++) {
            byte[] spoilt = good.clone();
            for (int n = 0; n <= chance.nextInt(4); n++) {
                spoilt[chance.nextInt(spoilt.length)] = (byte) chance.nextInt();
            }
            byte[] cut = new byte[chance.nextInt(spoilt.length + 1)];
            System.arraycopy(spoilt, 0, cut, 0, cut.length);
            // Of an older life, whatever else was spoilt, or not to be read at all; a new name is
            // another matter.
            try {
                Message m = new Codec(1_200).read(cut);
                if (!m.from().equals("m2") || m.incarnation() > 1) {
                    continue;
                }
            } catch (Codec.Unusable expected) {
                // Refused below, too.
            }
            one.received(now, 2, cut);
        }
        assertThat(one.entries()).hasSize(3).allMatch(e -> e.standing() == Standing.HERE);
        assertThat(one.refused())
                .containsKeys("an older life", "another fleet", "too long", "spoilt");
    }

    @Test
    void twoOfOneNameAreToldAndTheFirstStays() {
        MembersField f = field(3, Members.Fault.NONE);
        Members one = f.places().get(1).members();
        byte[] second =
                new Codec(1_200)
                        .write(
                                new Message(
                                        "field",
                                        "m2",
                                        f.calendar().now() * 2,
                                        Message.Kind.PING,
                                        1,
                                        "m1",
                                        1,
                                        2,
                                        3,
                                        false,
                                        List.of(),
                                        List.of(),
                                        List.of(),
                                        new byte[0]));
        one.received(f.calendar().now(), 0, second);
        assertThat(one.refused()).containsKey("two of one name");
    }

    @Test
    void whoLeavesByIntentIsNotDoubtedAndANewLifeIsKnown() {
        MembersField f = field(4, Members.Fault.NONE);
        f.places().get(2).members().leave(f.calendar().now());
        f.pass(SECOND / 2);
        f.places().get(2).kill();
        f.pass(SECOND);
        assertThat(f.places().get(0).members().entries())
                .filteredOn(e -> e.name().equals("m2"))
                .allMatch(e -> e.standing() == Standing.LEFT);
        assertThat(f.agreed()).isTrue();
        f.places().get(2).start();
        assertThat(f.untilAgreed(5 * SECOND)).isNotNegative();
    }
}
