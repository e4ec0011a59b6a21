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

/** A process that the scale run starts and ends, with what the system tells of it. */
final class ManagedProcess {
  private static final double TICKS_PER_SECOND = 100;
  private static final double KIB_PER_MIB = 1_024;

  /** Fields of /proc/PID/stat after the command's name: processor time in user and system mode. */
  private static final int USER_TICKS = 11;

  private static final int SYSTEM_TICKS = 12;

  private final String name;
  private final List<String> command;
  private final Path log;
  private final BiConsumer<String, String> onLine;
  private Process process;
  private double earlierCpuSeconds;

  /** Processor time of all its lives, and what it holds now. */
  record Usage(double cpuSeconds, double residentMib, long sockets) {}

  /**
   * Starts a controller as a process of its own.
   *
   * @param onLine told of each line that the process logs, with its name
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

  private void copyLog(Process from) {
    try (BufferedReader lines =
            new BufferedReader(
                new InputStreamReader(from.getInputStream(), StandardCharsets.UTF_8));
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
      // The process was ended while its log was read.
      onLine.accept(name, "log ends: " + exception.getMessage());
    }
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Ends the process at once, as a crash would. */
  void kill() throws InterruptedException {
    if (process != null) {
      earlierCpuSeconds += isAlive() ? readUsage().cpuSeconds() - earlierCpuSeconds : 0;
      process.destroyForcibly();
      process.waitFor();
    }
  }

  Usage readUsage() {
    if (!isAlive()) {
      return new Usage(earlierCpuSeconds, 0, 0);
    }
    Path proc = Path.of("/proc", String.valueOf(process.pid()));
    try {
      return new Usage(
          earlierCpuSeconds + readCpuSeconds(proc), readResidentMib(proc), countSockets(proc));
    } catch (IOException | UncheckedIOException exception) {
      return new Usage(earlierCpuSeconds, 0, 0);
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
          .filter(l -> l.startsWith("VmRSS:"))
          .mapToDouble(l -> Long.parseLong(l.replaceAll("\\D", "")) / KIB_PER_MIB)
          .findFirst()
          .orElse(0);
    }
  }

  private static long countSockets(Path proc) throws IOException {
    try (Stream<Path> open = Files.list(proc.resolve("fd"))) {
      return open.filter(ManagedProcess::isSocket).count();
    }
  }

  private static boolean isSocket(Path descriptor) {
    try {
      return Files.readSymbolicLink(descriptor).toString().startsWith("socket:");
    } catch (IOException exception) {
      // It was closed meanwhile.
      return false;
    }
  }
}
