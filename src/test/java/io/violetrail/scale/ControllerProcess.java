package io.violetrail.scale;

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
final class ControllerProcess {
  private static final double TICKS_PER_S = 100;
  private static final double KIB_PER_MIB = 1_024;

  /** Fields of /proc/PID/stat after the command's name: processor time in user and system mode. */
  private static final int USER_TICKS = 11;

  private static final int SYSTEM_TICKS = 12;

  private final String name;
  private final List<String> command;
  private final Path log;
  private final BiConsumer<String, String> onLine;
  private Process process;
  private double formerCpuS;

  /** Processor time of all its lives, and what it holds now. */
  record Usage(double cpuS, double residentMib, long sockets) {}

  /**
   * Starts a controller as a process of its own.
   *
   * @param onLine told of each line that the process logs, with its name
   */
  ControllerProcess(
      String name, List<String> command, Path log, BiConsumer<String, String> onLine) {
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
    Thread reader = new Thread(() -> copy(started), "log of " + name);
    reader.setDaemon(true);
    reader.start();
  }

  private void copy(Process from) {
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
    } catch (IOException e) {
      // The process was ended while its log was read.
      onLine.accept(name, "log ends: " + e.getMessage());
    }
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  /** Ends the process at once, as a crash would. */
  void kill() throws InterruptedException {
    if (process != null) {
      formerCpuS += alive() ? usage().cpuS() - formerCpuS : 0;
      process.destroyForcibly();
      process.waitFor();
    }
  }

  Usage usage() {
    if (!alive()) {
      return new Usage(formerCpuS, 0, 0);
    }
    Path proc = Path.of("/proc", String.valueOf(process.pid()));
    try {
      return new Usage(formerCpuS + cpuS(proc), residentMib(proc), sockets(proc));
    } catch (IOException | UncheckedIOException e) {
      return new Usage(formerCpuS, 0, 0);
    }
  }

  static double cpuS(Path proc) throws IOException {
    String stat = Files.readString(proc.resolve("stat"));
    String[] field = stat.substring(stat.lastIndexOf(')') + 2).split(" ", 0);
    return (Long.parseLong(field[USER_TICKS]) + Long.parseLong(field[SYSTEM_TICKS])) / TICKS_PER_S;
  }

  static double residentMib(Path proc) throws IOException {
    try (Stream<String> lines = Files.lines(proc.resolve("status"))) {
      return lines
          .filter(l -> l.startsWith("VmRSS:"))
          .mapToDouble(l -> Long.parseLong(l.replaceAll("\\D", "")) / KIB_PER_MIB)
          .findFirst()
          .orElse(0);
    }
  }

  private static long sockets(Path proc) throws IOException {
    try (Stream<Path> open = Files.list(proc.resolve("fd"))) {
      return open.filter(ControllerProcess::isSocket).count();
    }
  }

  private static boolean isSocket(Path descriptor) {
    try {
      return Files.readSymbolicLink(descriptor).toString().startsWith("socket:");
    } catch (IOException e) {
      // It was closed meanwhile.
      return false;
    }
  }
}
