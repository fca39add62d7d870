package org.gradeledge.standin.fleet;

import java.util.Random;

/** Places at which an answer stops. */
public enum AnswerCut {
  /** After its last byte. */
  WHOLE {
    @Override
    int position(String text, Random random) {
      return text.length();
    }
  },
  /** After the first letter of the reason phrase. */
  REASON_PHRASE {
    @Override
    int position(String text, Random random) {
      return "HTTP/1.1 200 O".length();
    }
  },
  /** In the value of the first header. */
  HEADER_VALUE {
    @Override
    int position(String text, Random random) {
      return text.indexOf(": ") + ": ".length() + 1;
    }
  },
  /** After any byte of the head but the last. */
  HEAD {
    @Override
    int position(String text, Random random) {
      return 1 + random.nextInt(headLength(text) - 1);
    }
  },
  /** After the head, or after any byte of the body but the last. */
  BODY {
    @Override
    int position(String text, Random random) {
      int head = headLength(text);
      return head + random.nextInt(Math.max(1, text.length() - head));
    }
  };

  private static final String HEAD_END = "\r\n\r\n";

  /** Returns the number of bytes that are sent of an answer. */
  abstract int position(String text, Random random);

  static int headLength(String text) {
    return text.indexOf(HEAD_END) + HEAD_END.length();
  }
}
