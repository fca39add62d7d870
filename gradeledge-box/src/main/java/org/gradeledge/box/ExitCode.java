package org.gradeledge.box;

/** Exit codes of the commands, as listed in the help of {@link Main}. */
enum ExitCode {
  OK(0),
  FAILED(1),
  INVALID(2),
  REFUSED(3),
  LOST_RACE(4),
  STALE_BASE(5),
  UNKNOWN(6),
  UNREACHABLE(7);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }
}
