package firstage.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class DepartureMonitorTest {
    private final DepartureMonitor monitor = new DepartureMonitor();

    @Test
    void sent_withinAllowance_isNoViolation() {
        assertThat(monitor.onClientLeft(5_000)).isZero();
        assertThat(monitor.onStatementSent(6_000)).isZero();
    }

    @Test
    void sent_longAfterClientLeft_isViolation() {
        assertThat(monitor.onClientLeft(5_000)).isZero();
        assertThat(monitor.onStatementSent(6_200)).isEqualTo(200);
    }

    /** The end of the client's connection was not read yet when the statement was sent. */
    @Test
    void departureReadAfterSend_isViolation() {
        assertThat(monitor.onStatementSent(9_000)).isZero();
        assertThat(monitor.onClientLeft(5_000)).isEqualTo(3_000);
    }

    @Test
    void sent_clientReturned_isNoViolation() {
        assertThat(monitor.onClientLeft(5_000)).isZero();
        monitor.onClientReturned();
        assertThat(monitor.onStatementSent(9_000)).isZero();
    }
}
