/**
 * What every adapter needs at the door: settings turned into a Deployment, ids mapped to small
 * indices.
 */
package firstage.config;
