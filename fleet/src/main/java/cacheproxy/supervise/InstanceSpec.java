package cacheproxy.supervise;

/**
 * The declaration of an instance.
 *
 * @param launch digest of the settings that need a restart to change: command, environment, listen address
 * @param configuration digest of the configuration that can be reloaded at run time
 */
public record InstanceSpec(String name, String launch, String configuration, SupervisionPolicy policy) {}
