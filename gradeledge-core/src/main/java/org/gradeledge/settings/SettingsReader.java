package org.gradeledge.settings;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.gradeledge.document.DocumentReader;
import org.gradeledge.document.Fault;

/**
 * Reads and checks the settings file of a box.
 *
 * <p>All faults come back at once, each with its JSON Pointer; relative file names count from the
 * settings file. Thread-safe.
 *
 * @since 0.1
 */
public final class SettingsReader {

  private static final int MIN_SECRET_LENGTH = 16;

  private final DocumentReader<BoxSettings> reader =
      new DocumentReader<>(BoxSettings.class, "box-settings.schema.json");

  /** Returns the settings in a file, or what is wrong with them. */
  public Either<List<Fault>, BoxSettings> read(Path file) {
    try {
      return read(Files.readAllBytes(file));
    } catch (IOException e) {
      return Either.left(List.of(new Fault("", "must be a readable file: " + file)));
    }
  }

  /** Returns the settings in a text, or what is wrong with them. */
  public Either<List<Fault>, BoxSettings> read(byte[] text) {
    return reader.read(text).flatMap(SettingsReader::checkSemantics);
  }

  private static Either<List<Fault>, BoxSettings> checkSemantics(BoxSettings settings) {
    List<Fault> faults = new ArrayList<>();
    checkListen("/caller", settings.caller(), faults);
    checkListen("/operator", settings.operator(), faults);
    checkSecret(settings.peer().secretFile(), faults);
    checkTiming(settings.timingOrDefault(), faults);
    return faults.isEmpty() ? Either.right(settings) : Either.left(faults);
  }

  private static void checkListen(String pointer, ListenSettings listen, List<Fault> faults) {
    listen
        .tls()
        .ifPresent(
            tls -> {
              checkReadable(pointer + "/tls/certificateFile", tls.certificateFile(), faults);
              checkReadable(pointer + "/tls/keyFile", tls.keyFile(), faults);
            });
    if (listen.exposesPlainText()) {
      faults.add(
          new Fault(pointer, "must have tls, listen on loopback, or set allowPlain to true"));
    }
  }

  private static void checkReadable(String pointer, Path file, List<Fault> faults) {
    if (!Files.isReadable(file)) {
      faults.add(new Fault(pointer, "must name a readable file: " + file));
    }
  }

  private static void checkSecret(Path file, List<Fault> faults) {
    String pointer = "/peer/secretFile";
    checkReadable(pointer, file, faults);
    try {
      if (Files.isReadable(file) && Files.readString(file).strip().length() < MIN_SECRET_LENGTH) {
        faults.add(new Fault(pointer, "must hold at least " + MIN_SECRET_LENGTH + " characters"));
      }
    } catch (IOException e) {
      faults.add(new Fault(pointer, "must hold text"));
    }
  }

  private static void checkTiming(TimingSettings timing, List<Fault> faults) {
    if (timing.heartbeat().multipliedBy(3).compareTo(timing.membershipBound()) > 0) {
      faults.add(
          new Fault("/timing/membershipBoundMs", "must be at least three times heartbeatMs"));
    }
    if (timing.prepareBound().compareTo(timing.doubtBound()) > 0) {
      faults.add(new Fault("/timing/doubtBoundMs", "must be at least prepareBoundMs"));
    }
  }
}
