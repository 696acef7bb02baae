package org.ragwortbank.core.model

/**
 * The agreement of a client account.
 *
 * @property rate tokens per second over the whole fleet
 * @property burst tokens that may be taken at once after a pause
 */
data class Account(
    val id: AccountId,
    val rate: Long,
    val burst: Long,
) {
    companion object {
        /** The account to which requests without a key are charged, on routes that are open to all. */
        val ANONYMOUS: AccountId = AccountId("anonymous")
    }
}
