export { loadSettings, parseSettings } from "./parse-settings.js";
export { controlSection, describeRule, getUnit, type SettingKey, settingKeys, type ValueRule } from "./setting-keys.js";
