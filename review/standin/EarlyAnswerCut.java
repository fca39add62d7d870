import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * An engine crashes (SIGKILL) in the middle of an answer without a length that it began before it
 * had read all of the request's body. Rule MIXED: what was cut must not look complete; ORDER for the
 * streams among the answers.
 */
final class EarlyAnswerCut {
  private static final int ROUNDS = 6;
  private static final int BODY = 4 * 1024 * 1024;
  private static final int DEADLINE_MS = 5_000;
  private static final String STREAM = "/stream/text";
  private static final String[] PATHS = {"/once/book", "/again/look", STREAM};

  private final Path root;
  private final boolean trouble;
  private final List<String> record = new ArrayList<>();
  private final List<Process> engines = new ArrayList<>();
  private List<Box> boxes = List.of();

  private EarlyAnswerCut(Path root, boolean trouble) {
    this.root = root;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]).toAbsolutePath();
    Path root = Path.of(arguments[1]).toAbsolutePath();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    EarlyAnswerCut test = new EarlyAnswerCut(root, trouble);
    int result = 2;
    Path work = Work.folder();
    try {
      result = test.run(work) ? 0 : 1;
    } catch (Exception e) {
      test.record.add("could not run: " + e);
    } finally {
      test.end();
      Files.write(folder.resolve("record.txt"), test.record);
      test.record.forEach(System.out::println);
    }
    System.exit(result);
  }

  private boolean run(Path work) throws Exception {
    Store store = new Store();
    store.put("op", "config", Setup.configuration());
    boxes = Box.prepare(root, work, 2, store.address());
    for (Box box : boxes) {
      box.start();
    }
    for (Box box : boxes) {
      box.awaitReady(20_000);
    }
    boolean held = true;
    for (int round = 0; round < ROUNDS; round++) {
      held &= round(store, round);
    }
    record.add(held ? "held" : "broken");
    return held;
  }

  private boolean round(Store store, int round) throws Exception {
    String engineId = "i-7f3a91c" + round;
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    Process engine =
        new ProcessBuilder(
                java, "-Xmx64m", "-cp", System.getProperty("java.class.path"), "EarlyEngine",
                engineId)
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    engines.add(engine);
    Runtime.getRuntime().addShutdownHook(new Thread(engine::destroyForcibly));
    BufferedReader said =
        new BufferedReader(new InputStreamReader(engine.getInputStream(), StandardCharsets.UTF_8));
    store.put("servers", engineId, Setup.entry("127.0.0.1:" + said.readLine(), "ready", 1));
    Thread.sleep(1_500);
    String id = "9c41d07be2a3" + String.format("%04x", round);
    String path = PATHS[round % PATHS.length];
    Box box = boxes.get(round % boxes.size());
    byte[] body = new byte[BODY];
    Arrays.fill(body, (byte) 'b');
    boolean held;
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", box.front), 1_000);
      socket.setSoTimeout(DEADLINE_MS + 1_500);
      OutputStream out = socket.getOutputStream();
      String head = Setup.requestHead("POST", path, id, body.length, DEADLINE_MS);
      out.write(head.getBytes(StandardCharsets.US_ASCII));
      out.write(body);
      out.flush();
      record.add("sent POST " + path + " " + id + " with " + body.length + " bytes to a box");
      String half = said.readLine();
      record.add("engine " + engineId + " runs it and said: " + half);
      if (trouble) {
        Thread.sleep(100);
        engine.destroyForcibly();
        record.add("engine " + engineId + " killed");
      }
      held = judge(id, path, Http.readAnswer(socket.getInputStream()));
    } catch (IOException e) {
      record.add("client: connection ended, " + e.getMessage());
      held = true;
    }
    store.remove("servers", engineId);
    engine.destroyForcibly();
    engine.waitFor(5, TimeUnit.SECONDS);
    return held;
  }

  private boolean judge(String id, String path, Http.Answer answer) {
    if (answer == null) {
      record.add("client: closed without an answer");
      return trouble;
    }
    String whole = EarlyEngine.body(id, path.equals(STREAM));
    boolean same = answer.text().equals(whole);
    int status = answer.head().status();
    record.add("client: " + answer.head().line() + ", X-Response-Stamp "
        + answer.head().header("x-response-stamp") + ", Content-Length "
        + answer.head().header("content-length") + ", " + answer.body().length + " of "
        + whole.length() + " bytes of the engine's body, "
        + (answer.whole() ? "complete" : "not complete") + " for the client");
    boolean success = status >= 200 && status < 300 && answer.whole();
    if (!trouble) {
      return success && same;
    }
    return !success || same;
  }

  private void end() throws InterruptedException {
    for (Process engine : engines) {
      engine.destroyForcibly();
    }
    for (Box box : boxes) {
      box.kill();
    }
  }
}
