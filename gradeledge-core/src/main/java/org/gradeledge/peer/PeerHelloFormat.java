package org.gradeledge.peer;

import java.io.IOException;
import org.msgpack.core.MessagePacker;

/** Greetings, as maps. */
final class PeerHelloFormat implements MessageFormat<PeerHello> {

  private static final int FIELDS = 4;
  private static final String PROTOCOL_VERSION = "protocolVersion";
  private static final String BOX_ID = "boxId";
  private static final String INCARNATION = "incarnation";
  private static final String NONCE = "nonce";

  @Override
  public void write(MessagePacker packer, PeerHello hello) throws IOException {
    packer.packMapHeader(FIELDS);
    packer.packString(PROTOCOL_VERSION).packInt(hello.protocolVersion());
    packer.packString(BOX_ID).packString(hello.boxId());
    packer.packString(INCARNATION).packLong(hello.incarnation());
    packer.packString(NONCE).packBinaryHeader(hello.nonce().length).writePayload(hello.nonce());
  }

  @Override
  public PeerHello read(MessageReader reader) throws IOException {
    MessageFields fields = reader.readFields();
    return new PeerHello(
        fields.getInt(PROTOCOL_VERSION),
        fields.getString(BOX_ID),
        fields.getLong(INCARNATION),
        fields.getBytes(NONCE));
  }
}
