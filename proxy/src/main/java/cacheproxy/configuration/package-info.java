/**
 * The configuration file and the environment variables of a proxy, validated as a whole; every error names the field,
 * the value and what was expected. Settings keep the names of the simulator's protocol in the file; they are mapped to
 * the names of the code here and in {@code routing}.
 */
package cacheproxy.configuration;
