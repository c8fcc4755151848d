package org.wigeongrade.bench;

/** Kind of requests that a load run sends. */
public enum Workload {
    CHAT("/v1/chat/completions", false),
    CHAT_STREAM("/v1/chat/completions", true),
    COMPLETION("/v1/completions", false),
    COMPLETION_STREAM("/v1/completions", true);

    private final String path;
    private final boolean stream;

    Workload(String path, boolean stream) {
        this.path = path;
        this.stream = stream;
    }

    String path() {
        return path;
    }

    boolean isStream() {
        return stream;
    }

    boolean isChat() {
        return switch (this) {
            case CHAT, CHAT_STREAM -> true;
            case COMPLETION, COMPLETION_STREAM -> false;
        };
    }
}
