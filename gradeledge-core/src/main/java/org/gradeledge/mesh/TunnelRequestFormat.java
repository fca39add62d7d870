package org.gradeledge.mesh;

import java.io.IOException;
import org.gradeledge.peer.MessageFields;
import org.gradeledge.peer.MessageFormat;
import org.gradeledge.peer.MessageReader;
import org.gradeledge.tunnel.TunnelRequest;
import org.msgpack.core.MessagePacker;

/** Message format of {@link TunnelRequest}: a map. */
final class TunnelRequestFormat implements MessageFormat<TunnelRequest> {

  private static final int FIELDS = 2;
  private static final String INCARNATION_ID = "incarnationId";
  private static final String KEEP = "keep";

  @Override
  public void write(MessagePacker packer, TunnelRequest message) throws IOException {
    packer.packMapHeader(FIELDS);
    packer.packString(INCARNATION_ID).packString(message.incarnationId());
    packer.packString(KEEP).packBoolean(message.keep());
  }

  @Override
  public TunnelRequest read(MessageReader reader) throws IOException {
    MessageFields fields = reader.readFields();
    return new TunnelRequest(fields.getString(INCARNATION_ID), fields.getBoolean(KEEP));
  }
}
