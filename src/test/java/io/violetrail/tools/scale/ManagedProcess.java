package io.violetrail.tools.scale;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.stream.Stream;

/** A process that the scale run starts and kills, with its resource usage as read from /proc. */
final class ManagedProcess {
  private static final double TICKS_PER_SECOND = 100;
  private static final double KIB_PER_MIB = 1_024;

  /**
   * Indices of fields of /proc/PID/stat after the command's name: CPU ticks in user, system mode.
   */
  private static final int USER_TICKS = 11;

  private static final int SYSTEM_TICKS = 12;

  private final String name;
  private final List<String> command;
  private final Path log;
  private final BiConsumer<String, String> onLine;
  private Process process;
  private double previousRunsCpuSeconds;

  /** CPU time summed over all starts of the process, and its current memory and sockets. */
  record Usage(double cpuSeconds, double residentMib, long sockets) {}

  /**
   * Prepares a process; {@link #start} starts it.
   *
   * @param log file to which the process's output is appended
   * @param onLine receives the name and each line that the process prints, on a reader thread
   */
  ManagedProcess(String name, List<String> command, Path log, BiConsumer<String, String> onLine) {
    this.name = name;
    this.command = command;
    this.log = log;
    this.onLine = onLine;
  }

  void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(command));
    builder.redirectErrorStream(true);
    process = builder.start();
    Process started = process;
    Thread reader = new Thread(() -> copyLog(started), "log of " + name);
    reader.setDaemon(true);
    reader.start();
  }

  private void copyLog(Process source) {
    try (BufferedReader lines =
            new BufferedReader(
                new InputStreamReader(source.getInputStream(), StandardCharsets.UTF_8));
        BufferedWriter out =
            Files.newBufferedWriter(
                log,
                java.nio.file.StandardOpenOption.CREATE,
                java.nio.file.StandardOpenOption.APPEND)) {
      String line;
      while ((line = lines.readLine()) != null) {
        out.write(line);
        out.newLine();
        onLine.accept(name, line);
      }
    } catch (IOException exception) {
      // The process was killed while its output was being read.
      onLine.accept(name, "reading the log of " + name + " failed: " + exception.getMessage());
    }
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Kills the process at once, as a crash would, and waits until it has exited. */
  void kill() throws InterruptedException {
    if (process != null) {
      previousRunsCpuSeconds += isAlive() ? readUsage().cpuSeconds() - previousRunsCpuSeconds : 0;
      process.destroyForcibly();
      process.waitFor();
    }
  }

  Usage readUsage() {
    if (!isAlive()) {
      return new Usage(previousRunsCpuSeconds, 0, 0);
    }
    Path proc = Path.of("/proc", String.valueOf(process.pid()));
    try {
      return new Usage(
          previousRunsCpuSeconds + readCpuSeconds(proc), readResidentMib(proc), countSockets(proc));
    } catch (IOException | UncheckedIOException exception) {
      return new Usage(previousRunsCpuSeconds, 0, 0);
    }
  }

  static double readCpuSeconds(Path proc) throws IOException {
    String stat = Files.readString(proc.resolve("stat"));
    String[] field = stat.substring(stat.lastIndexOf(')') + 2).split(" ", 0);
    return (Long.parseLong(field[USER_TICKS]) + Long.parseLong(field[SYSTEM_TICKS]))
        / TICKS_PER_SECOND;
  }

  static double readResidentMib(Path proc) throws IOException {
    try (Stream<String> lines = Files.lines(proc.resolve("status"))) {
      return lines
          .filter(line -> line.startsWith("VmRSS:"))
          .mapToDouble(line -> Long.parseLong(line.replaceAll("\\D", "")) / KIB_PER_MIB)
          .findFirst()
          .orElse(0);
    }
  }

  private static long countSockets(Path proc) throws IOException {
    try (Stream<Path> descriptors = Files.list(proc.resolve("fd"))) {
      return descriptors.filter(ManagedProcess::isSocket).count();
    }
  }

  private static boolean isSocket(Path descriptor) {
    try {
      return Files.readSymbolicLink(descriptor).toString().startsWith("socket:");
    } catch (IOException exception) {
      // The descriptor was closed after it was listed.
      return false;
    }
  }
}
