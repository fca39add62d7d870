import java.nio.file.Path;

/** The frame of a case: the record, the trouble switch and the exit status. */
abstract class Case {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  final boolean trouble = !"0".equals(System.getProperty("trouble"));

  /** Plays the case; returns whether the rule was broken. */
  abstract boolean play(Fleet fleet, Record record) throws Exception;

  /** Ends the process with the status of the case. */
  void run(String recordFile) {
    int status = NOT_RUN;
    try (Record record = new Record(Path.of(recordFile)); Fleet fleet = new Fleet(record)) {
      record.write(trouble ? "with the disruption" : "without the disruption");
      try {
        boolean broken = play(fleet, record);
        status = broken ? BROKEN : HELD;
        record.write(broken ? "THE RULE IS BROKEN" : "the rule holds");
      } catch (Exception failure) {
        record.write("the case could not run: " + failure);
        failure.printStackTrace();
      }
    } catch (Exception failure) {
      failure.printStackTrace();
    }
    System.exit(status);
  }

  static void pause(long millis) throws InterruptedException {
    Thread.sleep(millis);
  }
}
