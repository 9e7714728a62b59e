package cacheproxy.benchlink;

import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/** Connects the decision module to the simulator through standard input and output. */
public final class Main {

    private static final int BUFFER_CHARS = 1 << 16;

    private Main() {}

    /** Runs until standard input ends; exits with code 2 on a malformed line. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar cache-proxy.jar benchlink");
            System.exit(64);
        }
        var in =
                new BufferedReader(
                        new InputStreamReader(
                                new FileInputStream(FileDescriptor.in), StandardCharsets.UTF_8),
                        BUFFER_CHARS);
        var out =
                new OutputStreamWriter(
                        new FileOutputStream(FileDescriptor.out), StandardCharsets.UTF_8);
        try {
            new SimulatorSession(in, out).run();
        } catch (WireFormatException e) {
            System.err.println("flintmill: " + e.getMessage());
            System.exit(2);
        }
    }
}
