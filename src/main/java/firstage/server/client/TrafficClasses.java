package firstage.server.client;

import firstage.config.SettingsKeys;
import firstage.config.WireFields;
import firstage.policy.api.Deployment;
import firstage.policy.api.TrafficClass.Effect;
import java.util.ArrayList;
import java.util.List;

/** The traffic classes and tenants from the settings, by name. */
final class TrafficClasses {
    private final List<String> names = new ArrayList<>();
    private final List<Double> deadlinesMs = new ArrayList<>();
    private final List<String> tenants = new ArrayList<>();
    private final Deployment deployment;

    /**
     * Reads the traffic classes and tenants.
     *
     * @param noDeadlineMs deadline to use for a class that has none
     */
    TrafficClasses(WireFields settings, Deployment deployment, double noDeadlineMs) {
        this.deployment = deployment;
        for (int i = 0; i < settings.getInt(SettingsKeys.CLASS_COUNT, 0); i++) {
            String nameKey = SettingsKeys.classField(i, SettingsKeys.CLASS_NAME);
            names.add(settings.getString(nameKey, ""));
            String deadlineKey = SettingsKeys.classField(i, SettingsKeys.CLASS_TIMEOUT);
            double deadlineMs = settings.getDouble(deadlineKey, 0) * 1_000;
            deadlinesMs.add(deadlineMs > 0 ? deadlineMs : noDeadlineMs);
        }
        for (int i = 0; i < settings.getInt(SettingsKeys.TENANT_COUNT, 0); i++) {
            String nameKey = SettingsKeys.tenantField(i, SettingsKeys.TENANT_NAME);
            tenants.add(settings.getString(nameKey, ""));
        }
    }

    /** Returns the index of a class; -1 if it is unknown. */
    int indexOf(String name) {
        return names.indexOf(name);
    }

    /** Returns the deadline of a class, in ms from the arrival of the request. */
    double deadlineMs(int index) {
        return deadlinesMs.get(index);
    }

    /** Returns whether requests of a class are idempotent without a key that shows a repetition. */
    boolean mayRunAgain(int index) {
        return deployment.trafficClasses().get(index).effect() == Effect.IDEMPOTENT;
    }

    /** Returns the index of a tenant; 0 if the settings define none, -1 if it is unknown. */
    int tenantIndex(String tenant) {
        return tenants.isEmpty() ? 0 : tenants.indexOf(tenant);
    }
}
