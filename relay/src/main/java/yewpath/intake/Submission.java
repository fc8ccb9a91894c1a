package yewpath.intake;

/**
 * A message as a client submits it.
 *
 * @param id the client's id of the message
 * @param messageClass a known message class
 * @param tenant the tenant; null if there is none
 * @param affinityKey the value of the header Affinity-Key; null if there is none
 * @param idempotencyKey the value of the header Idempotency-Key; null if there is none
 * @param destination the number of the destination
 * @param body the content of the message
 */
public record Submission(String id, String messageClass, String tenant, String affinityKey,
    String idempotencyKey, String destination, byte[] body) {}
