package org.gradeledge.mesh;

import java.io.IOException;
import org.gradeledge.connection.PathCheck;
import org.gradeledge.peer.MessageFields;
import org.gradeledge.peer.MessageFormat;
import org.gradeledge.peer.MessageReader;
import org.gradeledge.tunnel.TunnelOffer;
import org.msgpack.core.MessagePacker;

/** Message format of {@link TunnelOffer}: a map. */
final class TunnelOfferFormat implements MessageFormat<TunnelOffer> {

  private static final int FIELDS = 3;
  private static final String CHECK = "check";
  private static final String PORT = "port";
  private static final String TICKET = "ticket";

  @Override
  public void write(MessagePacker packer, TunnelOffer message) throws IOException {
    packer.packMapHeader(FIELDS);
    packer.packString(CHECK).packInt(message.check().code());
    packer.packString(PORT).packInt(message.port());
    packer.packString(TICKET).packString(message.ticket());
  }

  @Override
  public TunnelOffer read(MessageReader reader) throws IOException {
    MessageFields fields = reader.readFields();
    return new TunnelOffer(
        PathCheck.ofCode(fields.getInt(CHECK)), fields.getInt(PORT), fields.getString(TICKET));
  }
}
