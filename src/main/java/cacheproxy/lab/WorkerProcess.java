package cacheproxy.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A Java process that a testbed driver starts with the driver's own class path. The driver writes
 * commands to its standard input and reads its answers from its standard output, one per line.
 *
 * <p>Not thread safe: one driver thread owns a worker from its start to its end.
 */
public final class WorkerProcess implements AutoCloseable {

    /** How long a worker may take to exit after its input has been closed, in seconds. */
    private static final long END_TIMEOUT_S = 5;

    private final Process process;
    private final BufferedReader output;

    private WorkerProcess(Process process) {
        this.process = process;
        this.output = process.inputReader(StandardCharsets.UTF_8);
    }

    /**
     * Starts a worker.
     *
     * @param mainClass the class whose main method runs in the new process
     * @param jvmFlags JVM options, placed before the class path
     * @param arguments arguments of its main method
     * @param errors destination of its standard error
     * @throws IOException if the process cannot be started
     */
    public static WorkerProcess start(
            Class<?> mainClass,
            List<String> jvmFlags,
            List<String> arguments,
            ProcessBuilder.Redirect errors)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(jvmFlags);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass.getName());
        command.addAll(arguments);
        return new WorkerProcess(new ProcessBuilder(command).redirectError(errors).start());
    }

    /**
     * Writes one command and does not wait for its answer.
     *
     * @throws IOException if the process has ended
     */
    public void send(String command) throws IOException {
        OutputStream input = process.getOutputStream();
        input.write((command + "\n").getBytes(StandardCharsets.UTF_8));
        input.flush();
    }

    /**
     * Reads the next line of its output and blocks until there is one.
     *
     * @throws IOException if the process has ended and all its output has been read
     */
    public String readLine() throws IOException {
        String line = output.readLine();
        if (line == null) {
            throw new IOException("worker process " + process.pid() + " closed its output");
        }
        return line;
    }

    /**
     * Skips its output up to the next line that begins with a word, and returns the words after
     * that.
     *
     * @throws IOException if the process ends before such a line
     */
    public String[] readWordsAfter(String firstWord) throws IOException {
        String line = readLine();
        while (!line.startsWith(firstWord)) {
            line = readLine();
        }
        return line.substring(firstWord.length()).trim().split(" ");
    }

    /** Whether the process runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGKILL and waits for the process to exit, to simulate a machine failure. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor(END_TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Closes the input of the process, and sends SIGKILL if it does not exit in time. */
    @Override
    public void close() {
        try {
            process.getOutputStream().close();
            if (!process.waitFor(END_TIMEOUT_S, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (IOException e) {
            process.destroyForcibly();
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
