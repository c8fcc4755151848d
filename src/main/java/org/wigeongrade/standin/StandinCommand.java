package org.wigeongrade.standin;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.concurrent.Executors;

/** Command line options of one stand-in and the means to start it. Not safe for concurrent use. */
public interface StandinCommand {
    /** Starts the stand-in; closing the result stops it. */
    AutoCloseable start() throws Exception;

    /** Starts the stand-in and waits until the process is terminated. */
    default void run() throws Exception {
        AutoCloseable standin = start();
        System.out.println("ready");
        System.out.flush();
        try (standin) {
            Thread.currentThread().join();
        }
    }

    /** Returns an HTTP client with a bounded number of threads. */
    static HttpClient newHttpClient() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(400))
                .executor(Executors.newFixedThreadPool(2, Threads.daemon("http-client")))
                .build();
    }
}
