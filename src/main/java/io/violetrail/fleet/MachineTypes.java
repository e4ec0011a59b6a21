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
 * The machine types that the provider offers, from its last answer to this controller or from the
 * row that a controller has stored. Empty until either is known. Used on the event loop's thread;
 * the stored row survives a crash.
 */
public final class MachineTypes {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTypes.class);

  private final ClusterView clusterView;
  private final Map<String, MachineType> byName = new HashMap<>();
  private final Prices prices = new Prices(byName.values());
  private final AcceleratorPolicy acceleratorPolicy = new AcceleratorPolicy(byName.values());

  /** The stored row that was last loaded into {@link #byName}, compared by identity. */
  private Object loadedRow;

  /** Creates an object that reads the stored types from the cluster view. */
  public MachineTypes(ClusterView clusterView) {
    this.clusterView = clusterView;
  }

  /** Finds the type of the given name; returns null while it is not known. */
  public MachineType find(String name) {
    loadStoredTypes();
    return byName.get(name);
  }

  /** Returns all known types as a live view, which callers must not keep. */
  public Collection<MachineType> all() {
    loadStoredTypes();
    return byName.values();
  }

  /** Returns whether no type is known yet, so that it cannot be decided which types fit a job. */
  public boolean isEmpty() {
    return all().isEmpty();
  }

  /** Returns the shortest boot time of any type, in seconds; empty while no type is known. */
  public OptionalDouble shortestBootSeconds() {
    return all().stream().mapToDouble(MachineType::bootSeconds).min();
  }

  /** Returns the longest boot time of any type, in seconds; empty while no type is known. */
  public OptionalDouble longestBootSeconds() {
    return all().stream().mapToDouble(MachineType::bootSeconds).max();
  }

  /** Returns the prices of tasks on the types known now. */
  public Prices prices() {
    loadStoredTypes();
    return prices;
  }

  /** Returns which of the types known now suit tasks as far as accelerators are concerned. */
  public AcceleratorPolicy acceleratorPolicy() {
    loadStoredTypes();
    return acceleratorPolicy;
  }

  /** Replaces all known types by the given ones. */
  public void replaceAll(List<MachineType> types) {
    byName.clear();
    types.forEach(type -> byName.put(type.name(), type));
  }

  private void loadStoredTypes() {
    JsonNode stored = clusterView.machineTypes();
    if (stored == null || stored == loadedRow) {
      return;
    }
    loadedRow = stored;
    try {
      replaceAll(CloudMessages.parseMachineTypes(stored));
    } catch (MalformedMessageException exception) {
      LOG.error("cannot parse the stored machine types: {}", exception.getMessage());
    }
  }
}
