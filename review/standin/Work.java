import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** The temporary folder of a case, for settings and logs of boxes. */
final class Work {
  private Work() {}

  /** Creates the folder; it is removed when this process ends, unless KEEP is set. */
  static Path folder() throws IOException {
    Path folder = Files.createTempDirectory("gradeledge-review");
    if (System.getenv("KEEP") == null) {
      Runtime.getRuntime().addShutdownHook(new Thread(() -> remove(folder)));
    } else {
      System.out.println("logs in " + folder);
    }
    return folder;
  }

  private static void remove(Path folder) {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (IOException e) {
      System.err.println(folder + " is left behind: " + e);
    }
  }
}
