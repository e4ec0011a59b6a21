package io.violetrail.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.violetrail.model.MachineType;
import io.violetrail.ownership.ClusterView;
import io.violetrail.wire.Cbor.MalformedMessageException;
import io.violetrail.wire.CloudMessages;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machine types that the provider offers, as it last answered this controller or as another
 * controller has stored them. Empty until one of the two is known. Used on the event loop's thread;
 * the stored row survives a crash.
 */
public final class MachineTypes {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTypes.class);

  private final ClusterView clusterView;
  private final Map<String, MachineType> byName = new HashMap<>();

  /** The stored row that {@link #byName} was last filled from, compared by identity. */
  private Object loadedFrom;

  /** Reads the stored types from the rows of the cluster view. */
  public MachineTypes(ClusterView clusterView) {
    this.clusterView = clusterView;
  }

  /** Finds the type of that name; null while it is not known. */
  public MachineType find(String name) {
    loadStoredTypes();
    return byName.get(name);
  }

  /** All types known now; the collection is a view and must not be kept. */
  public Collection<MachineType> all() {
    loadStoredTypes();
    return byName.values();
  }

  /** Whether no type is known yet: then nothing can be said about what a job fits. */
  public boolean isEmpty() {
    return all().isEmpty();
  }

  /** The shortest boot of any type, in seconds; empty while no type is known. */
  public OptionalDouble shortestBootSeconds() {
    return all().stream().mapToDouble(MachineType::bootSeconds).min();
  }

  /** The longest boot of any type, in seconds; empty while no type is known. */
  public OptionalDouble longestBootSeconds() {
    return all().stream().mapToDouble(MachineType::bootSeconds).max();
  }

  /** What tasks cost on these types, at the prices known now. */
  public Prices prices() {
    return new Prices(all());
  }

  /** Replaces all types by what the provider has just answered. */
  public void replaceAll(List<MachineType> types) {
    byName.clear();
    types.forEach(type -> byName.put(type.name(), type));
  }

  private void loadStoredTypes() {
    JsonNode stored = clusterView.machineTypes();
    if (stored == null || stored == loadedFrom) {
      return;
    }
    loadedFrom = stored;
    try {
      replaceAll(CloudMessages.parseMachineTypes(stored));
    } catch (MalformedMessageException exception) {
      LOG.error("the stored machine types cannot be read: {}", exception.getMessage());
    }
  }
}
