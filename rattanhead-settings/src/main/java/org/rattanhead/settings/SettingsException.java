package org.rattanhead.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Carries all faults of a settings file.
 */
public final class SettingsException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient List<SettingFault> faults;

	/**
	 * Wraps faults.
	 * @param faults the faults, at least one
	 */
	public SettingsException(List<SettingFault> faults) {
		super(faults.stream().map(SettingFault::toString).collect(Collectors.joining(System.lineSeparator())));
		this.faults = List.copyOf(faults);
	}

	/**
	 * Wraps one fault and its cause.
	 * @param fault the fault
	 * @param cause the cause
	 */
	public SettingsException(SettingFault fault, Throwable cause) {
		super(fault.toString(), cause);
		this.faults = List.of(fault);
	}

	/**
	 * Returns the faults.
	 * @return the faults
	 */
	public List<SettingFault> faults() {
		return this.faults;
	}

}
