package org.wigeongrade.standin;

import java.util.Locale;

/** State of an engine VM, as it announces it. */
enum EngineState {
    IDLE,
    LOADING,
    COLD,
    WARM,
    LEAVING;

    boolean takesRequests() {
        return switch (this) {
            case COLD, WARM -> true;
            case IDLE, LOADING, LEAVING -> false;
        };
    }

    String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
