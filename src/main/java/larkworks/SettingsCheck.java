package larkworks;

import larkworks.Balancer.Limits;
import larkworks.Balancer.RequestClass;
import larkworks.Balancer.Rules;
import larkworks.Balancer.Settings;
import larkworks.Balancer.Tenant;

/** Rejects settings with a missing or invalid field, and names the field. */
public final class SettingsCheck {

    private SettingsCheck() { }

    /** @throws IllegalArgumentException with the name of the first field that is missing or invalid */
    public static void check(Settings settings) {
        require(settings != null, "settings", "missing");
        require(settings.classes() != null && !settings.classes().isEmpty(), "classes",
                "at least one is needed");
        for (int i = 0; i < settings.classes().size(); i++) {
            RequestClass c = settings.classes().get(i);
            String field = "classes[" + i + "]";
            require(c != null, field, "missing");
            require(c.effect() != null, field + ".effect", "missing");
            require(c.group() != null, field + ".group", "missing");
            require(c.aimUs() > 0, field + ".aimUs", "must be above 0");
            require(c.deadlineUs() >= c.aimUs(), field + ".deadlineUs", "must not be below aimUs");
            require(c.worth() >= 0, field + ".worth", "must not be negative");
            require(c.lateWorth() >= 0 && c.lateWorth() <= 1, field + ".lateWorth", "must lie in 0..1");
            require(c.dedupWindowUs() >= 0, field + ".dedupWindowUs", "must not be negative");
        }
        require(settings.tenants() != null, "tenants", "missing");
        for (int i = 0; i < settings.tenants().size(); i++) {
            Tenant t = settings.tenants().get(i);
            require(t != null, "tenants[" + i + "]", "missing");
            require(t.quotaPerSecond() >= 0, "tenants[" + i + "].quotaPerSecond", "must not be negative");
        }
        Limits limits = settings.limits();
        require(limits != null, "limits", "missing");
        require(limits.maxAttempts() >= 1, "limits.maxAttempts", "must be at least 1");
        require(limits.maxRetryAfterUs() >= 0, "limits.maxRetryAfterUs", "must not be negative");
        Rules rules = settings.rules();
        require(rules != null, "rules", "missing");
        require(rules.drainGraceUs() >= 0, "rules.drainGraceUs", "must not be negative");
        require(rules.maxDiscoveryIntervalUs() >= 0, "rules.maxDiscoveryIntervalUs", "must not be negative");
        require(rules.coldFrom() > 0 && rules.coldFrom() <= 1, "rules.coldFrom", "must lie above 0, up to 1");
        require(rules.coldUs() >= 0, "rules.coldUs", "must not be negative");
        require(rules.tipMultiple() > 0, "rules.tipMultiple", "must be above 0");
        require(settings.probePrice() >= 0, "probePrice", "must not be negative");
        require(settings.crossZonePrice() >= 0, "crossZonePrice", "must not be negative");
        require(settings.copies() >= 1, "copies", "must be at least 1");
        require(settings.copy() >= 0 && settings.copy() < settings.copies(), "copy",
                "must lie within copies");
        require(settings.tiers() >= 1, "tiers", "must be at least 1");
        require(settings.tier() >= 0 && settings.tier() < settings.tiers(), "tier", "must lie within tiers");
        require(settings.overQuotaWorth() >= 0 && settings.overQuotaWorth() <= 1, "overQuotaWorth",
                "must lie in 0..1");
        require(settings.tickUs() >= 1, "tickUs", "must be at least 1");
    }

    private static void require(boolean isValid, String field, String requirement) {
        if (!isValid) {
            throw new IllegalArgumentException(field + ": " + requirement);
        }
    }
}
