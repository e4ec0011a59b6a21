package io.violetrail.peer;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import io.violetrail.configuration.ConfigurationState;
import io.violetrail.peer.PeerMessages.JobViewMessage;
import io.violetrail.peer.PeerMessages.PeerRequest;
import io.violetrail.peer.PeerMessages.PeerRequestKind;
import io.violetrail.peer.PeerMessages.PeerResponse;
import java.util.ArrayList;

/**
 * Encodes and decodes the messages between controllers. Not thread-safe: each user has its own
 * instance.
 *
 * <p>Names in the code determine the wire format. Kryo writes a record's components in the
 * alphabetical order of their names, without the names; a class as the position at which it is
 * registered here; an enum constant as its ordinal. During a rolling restart, controllers of two
 * versions exchange messages. If a component is renamed so that the order changes, a class is
 * registered elsewhere in the list or a constant is moved, then values of the same type are swapped
 * silently, and other messages are rejected. {@code PeerMessagesCompatibilityTest} holds recorded
 * bytes of every message.
 */
public final class PeerCodec {
  private static final int MAX_MESSAGE_BYTES = 64 * 1024;
  private static final int INITIAL_BUFFER_BYTES = 256;
  private static final int MAX_OBJECT_DEPTH = 8;

  private Kryo kryo;

  private Kryo kryo() {
    if (kryo == null) {
      kryo = new Kryo();
      kryo.setRegistrationRequired(true);
      kryo.setReferences(false);
      kryo.setMaxDepth(MAX_OBJECT_DEPTH);
      kryo.register(ArrayList.class);
      kryo.register(ResourceRequest.class);
      kryo.register(PeerRequestKind.class);
      kryo.register(PeerRequest.class);
      kryo.register(PeerResponse.class);
      kryo.register(JobViewMessage.class);
      kryo.register(ConfigurationState.class);
    }
    return kryo;
  }

  /** Encodes a message. */
  public byte[] encode(Object message) {
    Output output = new Output(INITIAL_BUFFER_BYTES, MAX_MESSAGE_BYTES);
    kryo().writeObject(output, message);
    return output.toBytes();
  }

  /** Decodes a message; throws a {@code KryoException} if it is malformed. */
  public <T> T decode(byte[] bytes, Class<T> type) {
    return kryo().readObject(new Input(bytes), type);
  }
}
