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
 * The form of controllers' messages to each other on the wire. Not thread-safe: each user has its
 * own.
 *
 * <p>Names in code decide this form. Kryo writes a record's components in the alphabetical order of
 * their names, without the names; a class as the position at which it is registered here; an enum
 * constant as its ordinal. During a rolling restart, controllers of two versions talk to each
 * other. If a component is renamed so that the order changes, a class is registered elsewhere in
 * the list or a constant is moved, then values of the same type are swapped silently, and other
 * messages are refused. {@code PeerMessagesCompatibilityTest} holds recorded bytes of every
 * message.
 */
public final class PeerCodec {
  private static final int MAX_MESSAGE = 64 * 1024;
  private static final int INITIAL_BUFFER = 256;
  private static final int MAX_DEPTH = 8;

  private Kryo kryo;

  private Kryo kryo() {
    if (kryo == null) {
      kryo = new Kryo();
      kryo.setRegistrationRequired(true);
      kryo.setReferences(false);
      kryo.setMaxDepth(MAX_DEPTH);
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

  /** Writes a message. */
  public byte[] encode(Object message) {
    Output output = new Output(INITIAL_BUFFER, MAX_MESSAGE);
    kryo().writeObject(output, message);
    return output.toBytes();
  }

  /** Reads a message; throws a {@code KryoException} if it is unclear. */
  public <T> T decode(byte[] bytes, Class<T> type) {
    return kryo().readObject(new Input(bytes), type);
  }
}
