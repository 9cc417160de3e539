package firstage.policy.state;

/**
 * How an engine is judged from what passes through. FULL refuses, TRIAL lets one batch find out.
 */
public enum EngineHealth {
    AVAILABLE,
    REFUSING,
    HALF_OPEN,
    UNRESPONSIVE,
    UNAVAILABLE
}
