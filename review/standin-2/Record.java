import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void write(String text) {
    out.printf(Locale.ROOT, "%8.3f s  %s%n", (System.nanoTime() - startNanos) / 1e9, text);
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
