import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the system, started with the command of the deploy file. */
final class Box {
  private static final int PORTS = 5;

  private final Path root;
  private final Path settings;
  private final Path log;
  final int front;
  final int ready;
  private Process process;

  private Box(Path root, Path settings, Path log, int front, int ready) {
    this.root = root;
    this.settings = settings;
    this.log = log;
    this.front = front;
    this.ready = ready;
  }

  /** Writes the settings of some boxes without starting them. */
  static List<Box> prepare(Path root, Path work, int count, String store) throws IOException {
    return prepare(root, work, Collections.nCopies(count, "hall-a"), store);
  }

  /** Writes the settings of boxes in the given zones without starting them. */
  static List<Box> prepare(Path root, Path work, List<String> zones, String store)
      throws IOException {
    int count = zones.size();
    int[] all = freePorts(PORTS * count);
    List<int[]> ports = new ArrayList<>();
    List<String> seeds = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      int[] own = Arrays.copyOfRange(all, PORTS * number, PORTS * (number + 1));
      ports.add(own);
      seeds.add("\"127.0.0.1:" + own[2] + "\"");
    }
    String seedList = String.join(",", seeds.subList(0, Math.min(3, count)));
    List<Box> boxes = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      int[] own = ports.get(number);
      Path file = work.resolve("box-" + number + ".json");
      Files.writeString(file, settings(number, zones.get(number), own, seedList, store));
      boxes.add(new Box(root, file, work.resolve("box-" + number + ".log"), own[0], own[1]));
    }
    return boxes;
  }

  private static String settings(
      int number, String zone, int[] ports, String seeds, String store) {
    return "{\"node_name\":\"front-" + zone + "-" + number + "\",\"role\":\"entry\","
        + "\"machine_class\":\"front\",\"serves\":[\"front\",\"control\"],\"ip\":\"127.0.0.1\","
        + "\"zone\":\"" + zone + "\",\"region\":\"one\",\"zones\":{\"hall-a\":\"one\","
        + "\"hall-b\":\"one\",\"hall-c\":\"one\",\"hall-d\":\"one\"},"
        + "\"listen_addresses\":{\"front\":\"127.0.0.1:" + ports[0]
        + "\",\"ready\":\"127.0.0.1:" + ports[1] + "\",\"control\":\"127.0.0.1:" + ports[2]
        + "\"},\"internal_ports\":[" + ports[3] + "," + ports[4] + "],\"seeds\":[" + seeds + "],"
        + "\"is_first_start\":true,\"is_counted\":false,\"limits\":{\"cpu_share\":0.75,"
        + "\"cpu_cores\":1,\"memory_mb\":430,\"file_descriptors\":4100,\"link_mbps\":1000.0,"
        + "\"disk_mb\":0},\"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"virtual_ip\","
        + "\"heartbeat_ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\","
        + "\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"stages\"],"
        + "\"fault_tolerance\":{\"machines\":2,\"zones\":0,\"regions\":0},"
        + "\"bounds\":{\"seed_lag_s\":3,\"address_reuse_s\":2,\"contact_ms\":3000,"
        + "\"ack_timeout_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":8,"
        + "\"loss_slack_ms\":200,\"config_apply_ms\":2000,\"rollback_slack_ms\":250,"
        + "\"max_stretch_ms\":5000,\"strict_revocation\":false,\"revoke_ms\":5000,"
        + "\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"budget_extra_retries\":56,"
        + "\"recovery_s\":12,\"pass_ms\":120,\"retry_after_s\":9.1},"
        + "\"platform\":{\"address\":\"" + store + "\",\"form\":\"table\",\"writes_per_s\":400,"
        + "\"reads_per_s\":2000,\"tx_ms\":5.0,\"part_writes_per_s\":200,\"row_bytes\":65536,"
        + "\"across\":false,\"history_s\":20,\"blob_bytes\":8388608,\"blob_ms\":25.0,"
        + "\"blob_mb_per_s\":80.0}}";
  }

  /** Starts the process with the run line of the deploy file, and nothing of this environment. */
  void start() throws IOException {
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run line");
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    builder.directory(root.toFile());
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("GRADELEDGE_SETTINGS", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
    process = builder.start();
    Process started = process;
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Waits until the box answers 200 to a question whether it is ready. */
  void awaitReady(long millis) throws IOException, InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      if (!process.isAlive()) {
        throw new IOException("a box ended at its start, see " + log);
      }
      if (isReady()) {
        return;
      }
      Thread.sleep(50);
    }
    throw new IOException("a box is not ready, see " + log);
  }

  /** Waits until the process listens on its ready address, whatever it answers there. */
  void awaitListening(long millis) throws IOException, InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress("127.0.0.1", ready), 500);
        return;
      } catch (IOException e) {
        Thread.sleep(5);
      }
    }
    throw new IOException("a box does not listen, see " + log);
  }

  boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", ready), 500);
      socket.setSoTimeout(1_000);
      socket
          .getOutputStream()
          .write(
              "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      String head = new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
      return head.endsWith(" 200");
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends SIGKILL. */
  void kill() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly();
      process.waitFor(5, TimeUnit.SECONDS);
    }
  }

  /** Sends SIGTERM, and SIGKILL after the grace. */
  void terminate() throws InterruptedException {
    process.destroy();
    if (!process.waitFor(8, TimeUnit.SECONDS)) {
      kill();
    }
  }

  /** Free ports below the range of outgoing connections, so that none takes them meanwhile. */
  private static int[] freePorts(int count) throws IOException {
    int[] ports = new int[count];
    int first = 12_000 + (int) (Math.random() * 18_000);
    for (int found = 0; found < count; first++) {
      try (ServerSocket socket = new ServerSocket(first, 1, InetAddress.getByName("127.0.0.1"))) {
        ports[found++] = socket.getLocalPort();
      } catch (IOException taken) {
        // the next one is tried
      }
    }
    return ports;
  }
}
