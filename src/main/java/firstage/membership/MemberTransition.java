package firstage.membership;

/**
 * One row of the state machine of a member as seen by this manager. Alive: the member answers.
 * Suspect: a probe by this or another manager was not answered; the member can refute the suspicion
 * with a higher incarnation. Dead: it did not refute in time. Left: it announced its shutdown.
 * Gossip with an older incarnation is dropped before it becomes an event. A combination of state
 * and event that has no row changes nothing.
 */
record MemberTransition(MemberState state, Event event, MemberState next, Effect effect) {
    /** An observation of this manager, or gossip, about a member. */
    enum Event {
        PROBE_UNANSWERED,
        SUSPECT_GOSSIP,
        DEAD_GOSSIP,
        LEFT_GOSSIP,
        NEWER_ALIVE,
        SUSPICION_TIMEOUT
    }

    /**
     * Side effect of a transition. All but NONE gossip the new record; SUSPECT also starts the time
     * to refute, and RETURN counts a return for flap damping.
     */
    enum Effect {
        NONE,
        GOSSIP,
        SUSPECT,
        RETURN
    }

    private static final MemberTransition[] TABLE = {
        of(MemberState.ALIVE, Event.PROBE_UNANSWERED, MemberState.SUSPECT, Effect.SUSPECT),
        of(MemberState.ALIVE, Event.SUSPECT_GOSSIP, MemberState.SUSPECT, Effect.SUSPECT),
        of(MemberState.ALIVE, Event.DEAD_GOSSIP, MemberState.DEAD, Effect.GOSSIP),
        of(MemberState.ALIVE, Event.LEFT_GOSSIP, MemberState.LEFT, Effect.GOSSIP),
        of(MemberState.ALIVE, Event.NEWER_ALIVE, MemberState.ALIVE, Effect.GOSSIP),
        of(MemberState.SUSPECT, Event.SUSPECT_GOSSIP, MemberState.SUSPECT, Effect.SUSPECT),
        of(MemberState.SUSPECT, Event.DEAD_GOSSIP, MemberState.DEAD, Effect.GOSSIP),
        of(MemberState.SUSPECT, Event.LEFT_GOSSIP, MemberState.LEFT, Effect.GOSSIP),
        of(MemberState.SUSPECT, Event.NEWER_ALIVE, MemberState.ALIVE, Effect.RETURN),
        of(MemberState.SUSPECT, Event.SUSPICION_TIMEOUT, MemberState.DEAD, Effect.GOSSIP),
        of(MemberState.DEAD, Event.LEFT_GOSSIP, MemberState.LEFT, Effect.GOSSIP),
        of(MemberState.DEAD, Event.NEWER_ALIVE, MemberState.ALIVE, Effect.RETURN),
        of(MemberState.LEFT, Event.NEWER_ALIVE, MemberState.ALIVE, Effect.RETURN),
    };

    private static MemberTransition of(
            MemberState state, Event event, MemberState next, Effect effect) {
        return new MemberTransition(state, event, next, effect);
    }

    /** Returns the row for a state and an event, or null if nothing changes. */
    static MemberTransition find(MemberState state, Event event) {
        for (MemberTransition row : TABLE) {
            if (row.state == state && row.event == event) {
                return row;
            }
        }
        return null;
    }
}
